#!/usr/bin/env node
/**
 * Runs the compiled tool.
 */
import "../dist/main.js";
