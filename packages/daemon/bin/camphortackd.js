#!/usr/bin/env -S node --disable-warning=DEP0111
import '../dist/main.js';
