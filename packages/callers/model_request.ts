/** A checked request for a model's answer. */
export interface ModelRequest {
    /** Name of the model. */
    model: string;
    /** The whole prompt as text. */
    prompt: string;
    /** Longest answer in tokens. */
    maximumTokens: number;
    /** Whether the answer is streamed. */
    stream: boolean;
    /** Form of the answer. */
    endpoint: "chat" | "completion";
}
