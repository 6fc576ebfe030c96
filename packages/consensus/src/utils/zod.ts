// eslint-disable-next-line n/no-extraneous-import, import-x/no-extraneous-dependencies -- The schemas of the core package are made with the same library.
export {z} from 'zod';
