/** The command line. */
export { checkFile } from "./check_file.ts";
export { createProgram } from "./create_program.ts";
export { ExitCode } from "./exit_code.ts";
export { OperatorClient } from "./operator_client.ts";
export { readDeclaration } from "./read_declaration.ts";
export { runProgram } from "./run_program.ts";
