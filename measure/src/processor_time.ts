/**
 * Reads the processor time and memory of processes from `/proc` on Linux.
 */
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_KIBIBYTE = 1_024;
/** Indexes of the user and system times among the fields after the command name in `/proc/PID/stat`. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Returns the processor time that a process has used so far, in microseconds. */
export function processorMicroseconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MICROSECONDS_PER_SECOND / TICKS_PER_SECOND;
}

/** Returns the total processor time of several processes, in microseconds. */
export function totalMicroseconds(pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + processorMicroseconds(pid), 0);
}

/** Returns the resident memory of a process, in bytes. */
export function residentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, kibibytes] = /^VmRSS:\s+(\d+) kB$/m.exec(text) ?? [];
  return Number(kibibytes ?? 0) * BYTES_PER_KIBIBYTE;
}
