/**
 * Time in milliseconds after which a connection is closed whose caller takes nothing of its answer, while there is no memory
 * for other answers.
 */
export const UNREAD_ANSWER_MILLISECONDS = 5_000;
