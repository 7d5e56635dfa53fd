/**
 * An older version never replaces the configuration in force.
 */
import { FleetDirectory } from "@eelgrassfront/directory";

const directory = new FleetDirectory();
directory.updateConfiguration({ version: 7, routes: [] });
const isTaken = directory.updateConfiguration({ version: 5, routes: [] });
console.log(isTaken, directory.configurationVersion);
// prints: false 7
