#!/usr/bin/env node
/**
 * Starts the built tool.
 */
import "../dist/main.js";
