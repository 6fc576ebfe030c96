import {z} from 'zod';

/** A whole configuration under a number of the operator's choosing. The highest number is in force. */
export const numberedDocumentSchema = z.object({
	number: z.int(),
	/** The content as it was sent; it is not read here. */
	content: z.string(),
});

export const documentResultSchema = z.discriminatedUnion('outcome', [
	/** The document, or one with a higher number, is durable on a majority. */
	z.object({outcome: z.literal('stored'), number: z.int()}),
	/** Other content is held under the number. */
	z.object({outcome: z.literal('conflict'), number: z.int()}),
	/** No majority answered in time. The document may still come into force; sending it again tells. */
	z.object({outcome: z.literal('no-majority')}),
]);

export type NumberedDocument = z.infer<typeof numberedDocumentSchema>;
export type DocumentResult = z.infer<typeof documentResultSchema>;
