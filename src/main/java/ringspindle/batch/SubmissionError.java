package ringspindle.batch;

/** Why a job is refused as it was sent. Nothing of it is kept. */
public enum SubmissionError {
    /** The body is no JSON object that can be read whole. */
    UNREADABLE("the body is not a whole JSON object"),
    /** There are no items, or more than a job may have. */
    ITEM_COUNT("a job has from 1 to " + JobSubmission.ITEMS_MAX + " requests"),
    /** A field of an item is missing or of the wrong type. */
    WRONG_FIELD("a field of a request is missing or of the wrong type"),
    /** Two items have the same id. */
    DOUBLED_ID("two requests have the same instanceId"),
    /** An id is empty, too long, or not of printable characters. */
    MALFORMED_ID("an instanceId is empty, too long or has characters that no id has"),
    /** A path is none, or has characters that no path has. */
    MALFORMED_PATH("a path does not begin with a slash, or has characters that no path has"),
    /** A header name or value cannot stand in a request. */
    MALFORMED_HEADER("a name or value of requestHeaders cannot stand in a request"),
    /** A body is not base64. */
    MALFORMED_BODY("a requestBody is not base64"),
    /** A count of tokens is negative or absurd. */
    TOKEN_COUNT("a tokenCount is negative or above " + JobSubmission.TOKENS_MAX);

    private final String text;

    SubmissionError(String text) {
        this.text = text;
    }

    /** What is wrong, for whoever sent the job. */
    public String text() {
        return text;
    }
}
