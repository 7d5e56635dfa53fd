/**
 * Timeout of calls to a worker: short beside a worker that answers at once, long beside one that is slow.
 */
import { test } from "node:test";
import { expect } from "earl";
import { ResponseTimes } from "./response_times.ts";

test("a call to a worker of which no response is known has a longer timeout than any other", () => {
  expect(new ResponseTimes().timeout).toEqual(200);
});

test("a call to a worker that answers at once has the shortest timeout", () => {
  const times = new ResponseTimes();
  for (let count = 0; count < 20; count += 1) times.recordResponse(1);
  expect(times.timeout).toEqual(15);
});

test("the timeout exceeds the response times of a worker that became slow", () => {
  const times = new ResponseTimes();
  for (let count = 0; count < 20; count += 1) times.recordResponse(1);
  for (let count = 0; count < 20; count += 1) times.recordResponse(35);
  expect(times.timeout).toBeGreaterThan(35);
});

test("the timeout doubles with each unanswered call until the next response", () => {
  const times = new ResponseTimes();
  times.recordResponse(1);
  const timeouts = [1, 2, 3].map(() => {
    times.recordUnanswered();
    return times.timeout;
  });
  expect(timeouts).toEqual([30, 60, 60]);
  times.recordResponse(1);
  expect(times.timeout).toEqual(15);
});
