import {z} from 'zod';

/** A whole configuration with a number chosen by the operator. The document with the highest number is active. */
export const numberedDocumentSchema = z.object({
	number: z.int(),
	/** The content as it was sent. It is opaque to the keepers. */
	content: z.string(),
});

export const documentResultSchema = z.discriminatedUnion('outcome', [
	/** The document, or one with a higher number, is durable on a majority. */
	z.object({outcome: z.literal('stored'), number: z.int()}),
	/** A document with the same number but different content exists. */
	z.object({outcome: z.literal('conflict'), number: z.int()}),
	/** No majority responded in time. The document may still become active; resend it to get the outcome. */
	z.object({outcome: z.literal('no-majority')}),
]);

export type NumberedDocument = z.infer<typeof numberedDocumentSchema>;
export type DocumentResult = z.infer<typeof documentResultSchema>;
