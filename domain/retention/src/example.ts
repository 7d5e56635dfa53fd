/**
 * Evicts the oldest entry when the entries together exceed the maximum weight.
 */
import { ExpiringMap } from "@eelgrassfront/retention";

const answers = new ExpiringMap<string, string>({
  horizonMilliseconds: 1_000,
  maximumWeight: 10,
  weigh: (answer) => answer.length,
});
answers.set(0, "first", "12345");
answers.set(500, "second", "123456");
console.log(answers.get("first"), answers.get("second"));
// prints: undefined 123456
