/** One part of a prompt, in the order of the prompt. */
export interface PromptSection {
    /** Key of the part, with the name of the service that runs the request. */
    key: string;
    tokens: number;
}
