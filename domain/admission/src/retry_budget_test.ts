/**
 * Retries are bounded to a share of first attempts, and an idle owner may still retry slowly.
 */
import { test } from "node:test";
import { expect } from "earl";
import { RetryBudget } from "./retry_budget.ts";

function spendAll(budget: RetryBudget, now: number): number {
  let spent = 0;
  while (budget.tryWithdraw(now)) spent += 1;
  return spent;
}

test("retries are bounded to a share of first attempts", () => {
  const budget = new RetryBudget();
  spendAll(budget, 0);
  for (let attempt = 0; attempt < 101; attempt += 1) budget.deposit(0.1);
  expect(spendAll(budget, 0)).toEqual(10);
});

test("an exhausted budget refills slowly", () => {
  const budget = new RetryBudget();
  spendAll(budget, 0);
  expect(budget.tryWithdraw(100)).toEqual(false);
  expect(budget.tryWithdraw(1_000)).toEqual(true);
});
