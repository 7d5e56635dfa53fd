/**
 * Orders three pieces of work: the one that needs least is served first, the one that is late last.
 */
import { compareUrgency, type Urgency } from "@eelgrassfront/overload";

const common = { priority: 1, hasStarted: false, isLate: false, startBy: 50 };
const work: readonly (Urgency & { readonly name: string })[] = [
  { ...common, name: "late", isLate: true, workPerCaller: 1 },
  { ...common, name: "large", workPerCaller: 900 },
  { ...common, name: "small", workPerCaller: 300 },
];
console.log([...work].sort(compareUrgency).map(({ name }) => name).join(" "));
// prints: small large late
