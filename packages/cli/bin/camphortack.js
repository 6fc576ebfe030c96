#!/usr/bin/env node
await import('../dist/main.js');
