import process from 'node:process';
import {getCommandLinePage} from './get-command-line-page.js';

process.stdout.write(getCommandLinePage());
