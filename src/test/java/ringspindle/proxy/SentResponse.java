package ringspindle.proxy;

import java.util.List;
import ringspindle.proxy.EventStreams.Ending;
import ringspindle.proxy.EventStreams.Framing;
import ringspindle.proxy.EventStreams.Response;

/** The part of a response that an engine sends, and how it then ends the connection. */
record SentResponse(Response response, int truncatedAt, Ending ending) {
    /** The events of the whole body, which differ in their line ends and fields. */
    static final List<String> EVENTS = List.of(
            "id: 0\ndata: <0>\n\n",
            "weight-versions: 2\nid: 1\ndata: <1>\n\n",
            "id: 2\r\ndata: <2>\r\n\r\n",
            "id: 3\nevent: part\ndata: <3a>\ndata: <3b>\n\n");

    /** Returns the number of complete events in the first bytes of a body. */
    static int countCompleteEvents(int bodyBytes) {
        int count = 0;
        int end = 0;
        while (count < EVENTS.size() && end + EVENTS.get(count).length() <= bodyBytes) {
            end += EVENTS.get(count++).length();
        }
        return count;
    }

    static int bodyLength(int events) {
        return String.join("", EVENTS.subList(0, events)).length();
    }

    boolean isComplete() {
        return truncatedAt == response.bytes().length;
    }

    int completeEvents() {
        return countCompleteEvents(response.bodyBefore()[truncatedAt]);
    }

    /** Returns true if the end cannot be distinguished from that of a complete response. */
    boolean looksComplete() {
        if (response.framing() != Framing.CLOSE_DELIMITED) {
            return isComplete();
        }
        // Any orderly close ends the response, but bytes of an incomplete event reveal the truncation.
        return ending != Ending.RESET
                && completeEvents() > 0
                && response.bodyBefore()[truncatedAt] == bodyLength(completeEvents());
    }

    /** Returns true if the last chunk was sent but not the empty line after it. */
    boolean lacksOnlyLastLine() {
        return !isComplete()
                && response.framing().isChunked()
                && truncatedAt >= response.lastChunkAt()
                && ending != Ending.RESET;
    }
}
