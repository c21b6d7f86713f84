/** The demo that the README refers to. */
export { runDemo } from "./run_demo.ts";
