/** Reproducible random numbers. */
export { RandomSource } from "./random_source.ts";
