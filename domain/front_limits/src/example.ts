/**
 * Refuses a connection above the limit of one address.
 */
import {
  Audience,
  defaultFrontLimits,
  FrontLimits,
} from "@eelgrassfront/front-limits";

const vm = { memoryBytes: 210_000_000, descriptors: 2_212 };
const defaults = defaultFrontLimits(vm, Audience.Clients);
const limits = new FrontLimits({ ...defaults, connectionsPerAddress: 1 });
console.log(limits.open("10.0.0.1", 0).decision.kind);
console.log(limits.open("10.0.0.1", 10).decision.kind);
// prints: continue
// prints: refuse
