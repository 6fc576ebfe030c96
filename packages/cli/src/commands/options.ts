import {Option} from 'clipanion';

/** The option factories of the command-line library, renamed to follow the naming conventions of this project. */
export const {String: createStringOption, Boolean: createBooleanOption} = Option;
