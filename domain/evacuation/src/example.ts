/**
 * A state with a lower offset never replaces a newer one.
 */
import { ZoneEvacuations } from "@eelgrassfront/evacuation";

const evacuations = new ZoneEvacuations();
evacuations.merge({ offset: 7, zones: ["zone-a"] });
evacuations.merge({ offset: 5, zones: [] });
console.log(evacuations.isEvacuated("zone-a"));
// prints: true
