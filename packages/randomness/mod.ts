/** Reproducible random numbers for experiments. */
export { RandomSource } from "./random_source.ts";
