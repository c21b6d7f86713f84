import { costedInputs } from "./_costed_inputs.ts";

const BYTES_PER_MEGABYTE = 1_000_000;
const SIZES = [1, 2, 4].map(megabytes => megabytes * BYTES_PER_MEGABYTE);
/** Processor time in milliseconds after which larger sizes of the same form are left out. */
const LONGEST_MILLISECONDS = 20_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Measures the processor time that each place which takes bytes of a peer needs for 1, 2 and 4 MB, in pieces of several sizes.
 * A place whose work grows with the square of what the peer sends shows in the last two columns.
 *
 * @param write Takes the lines of a table in Markdown, each as soon as it is measured.
 * @returns A promise that resolves after the last line.
 * @example
 * ```ts
 * await measureInputCost(line => console.log(line));
 * ```
 */
export async function measureInputCost(write: (line: string) => void): Promise<void> {
    write("| place | form | 1 MB, ms | 2 MB, ms | 4 MB, ms |");
    write("|---|---|---|---|---|");
    for (const { place, form, text, pieceBytes, take } of costedInputs) {
        const cells: string[] = [];
        let last = 0;
        for (const size of SIZES) {
            if (last > LONGEST_MILLISECONDS) {
                cells.push("not run");
                continue;
            }
            const bytes = Buffer.from(text.repeat(Math.floor(size / text.length)));
            const usage = process.cpuUsage();
            await take(bytes, pieceBytes);
            const { user, system } = process.cpuUsage(usage);
            last = (user + system) / MICROSECONDS_PER_MILLISECOND;
            cells.push(last.toFixed(0));
        }
        write(`| ${place} | ${form} | ${cells.join(" | ")} |`);
    }
}
