// The one part of undici that the daemon uses; the whole would double the time and memory of a start.
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
