import process from 'node:process';
import {getConfigurationPage} from './get-configuration-page.js';

process.stdout.write(getConfigurationPage());
