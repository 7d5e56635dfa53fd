/**
 * Two operators replace the same version: the first publication in the log wins for every reader.
 */
import { ConfigurationTracker } from "@eelgrassfront/configuration";
import { type Configuration, LogRecordKind } from "@eelgrassfront/model";

const configuration: Configuration = {
  kindsOfWork: [],
  teams: [],
  limits: { maximumTasksPerJob: 220, retryBudget: 0, maximumQueuedTasks: 1 },
};
const tracker = new ConfigurationTracker();
["first", "second"].forEach((publication, index) => {
  const { verdict } = tracker.apply(index + 1, {
    kind: LogRecordKind.ConfigurationPublished,
    publication,
    replaces: 0,
    publishedBy: "operator",
    configuration,
  });
  console.log(`${publication}: ${verdict}`);
});
// prints: first: accepted
// prints: second: rejected
