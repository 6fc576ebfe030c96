import type {ConfigurationFile} from '../files/read-configuration-files.js';

const customersPerLimit = 10;
const servicesPerPool = 4;

/**
 * Creates a valid configuration of a given size. Half of the objects are customers; the others are the services, pools and
 * limits that they refer to.
 * @param objectCount - The approximate number of objects.
 */
export function createSampleFiles(objectCount: number): ConfigurationFile[] {
	const customerCount = Math.ceil(objectCount / 2);
	const limitCount = Math.ceil(customerCount / customersPerLimit);
	const serviceCount = Math.ceil((objectCount - customerCount - limitCount) * servicesPerPool / (servicesPerPool + 1));
	const poolCount = Math.ceil(serviceCount / servicesPerPool);
	return [
		{path: 'limits.ini', text: createSections(limitCount, index => `[limit limit-${index}]\ntasksPerSecond = 1000\n`)},
		{path: 'pools.ini', text: createSections(poolCount, index => `[pool pool-${index}]\nlimits = limit-${index % limitCount}\n`)},
		{
			path: 'services.ini',
			text: createSections(serviceCount, index => `[service service-${index}]\npool = pool-${index % poolCount}\ndeclaredRunTimeMs = 300\n`),
		},
		{
			path: 'customers.ini',
			text: createSections(customerCount, index =>
				`[customer customer-${index}]\nservices = service-${index % serviceCount}\nlimits = limit-${index % limitCount}\ntokenHashes = ${getHash(index)}\n`),
		},
	];
}

function createSections(count: number, create: (index: number) => string): string {
	return Array.from({length: count}, (_, index) => create(index)).join('\n');
}

function getHash(index: number): string {
	return index.toString(16).padStart(64, '0');
}
