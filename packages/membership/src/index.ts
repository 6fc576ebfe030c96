/** The name of this package, as its daemon reports it. */
export const packageName = '@camphortack/membership';
