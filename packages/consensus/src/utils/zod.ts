
export {z} from 'zod';
