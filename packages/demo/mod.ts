/** The demonstration that README starts. */
export { runDemo } from "./run_demo.ts";
