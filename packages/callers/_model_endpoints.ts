/** Kinds of model requests by their paths. */
export const MODEL_ENDPOINTS: Record<string, "chat" | "completion"> = {
    "/v1/chat/completions": "chat",
    "/v1/completions": "completion",
};
