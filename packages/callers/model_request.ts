/** A validated request for a completion. */
export interface ModelRequest {
    /** Name of the model. */
    model: string;
    /** The prompt; the messages of a chat are joined to one text. */
    prompt: string;
    /** Maximum number of output tokens. */
    maximumTokens: number;
    /** Whether the completion is streamed as server-sent events. */
    stream: boolean;
    /** Endpoint of the OpenAI API, which determines the format of the response. */
    endpoint: "chat" | "completion";
}
