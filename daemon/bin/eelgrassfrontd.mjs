#!/usr/bin/env node
/**
 * Starts the built daemon.
 */
import "../dist/main.js";
