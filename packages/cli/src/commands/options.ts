import {Option} from 'clipanion';

/** The option types of the command line library, under the names that functions have in this project. */
export const {String: createStringOption, Boolean: createBooleanOption} = Option;
