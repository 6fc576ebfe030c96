// Exports only undici's Pool, which is all that the daemon uses. The whole package would double the start-up time and memory.
exports.Pool = require('../node_modules/undici/lib/dispatcher/pool.js');
