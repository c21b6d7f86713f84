import { createProgram } from "./create_program.ts";

createProgram().parse(process.argv);
