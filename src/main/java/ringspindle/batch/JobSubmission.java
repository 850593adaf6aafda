package ringspindle.batch;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.CharMatcher;
import jakarta.json.JsonException;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.io.ByteArrayInputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobItemData;

/** Reads a job as a client sent it. */
public sealed interface JobSubmission {
    /** The most items of a job. */
    int ITEMS_MAX = 200;
    /** The most tokens that an item may count. */
    long TOKENS_MAX = 1_000_000_000;
    /** The longest id of a job or item, in characters. */
    int ID_LENGTH_MAX = 200;

    /** A proper job. */
    record Proper(JobAccepted job) implements JobSubmission {
        /** Tokens of all items. */
        public long tokens() {
            return job.items().stream().mapToLong(JobItemData::tokens).sum();
        }
    }

    /** A job that is refused. */
    record Refused(SubmissionError error) implements JobSubmission {}

    /**
     * Reads the body of a call.
     *
     * @param maxWaitS seconds after which an item may be given up
     */
    static JobSubmission read(JobCall call, int maxWaitS) {
        return new Reader(call, maxWaitS).read();
    }

    /** True for an id as jobs and items have them: printable, and no part of a path. */
    static boolean isId(String text) {
        return !text.isEmpty() && text.length() <= ID_LENGTH_MAX && Reader.ID.matchesAllOf(text);
    }

    /** Reads one job. */
    final class Reader {
        private static final JsonProvider JSON = JsonProvider.provider();
        private static final CharMatcher ID = CharMatcher.inRange('0', '9')
                .or(CharMatcher.inRange('a', 'z'))
                .or(CharMatcher.inRange('A', 'Z'))
                .or(CharMatcher.anyOf("-_.~:"));
        private static final CharMatcher PATH = CharMatcher.inRange('!', '~').and(CharMatcher.isNot('#'));
        private static final CharMatcher HEADER_NAME =
                ID.and(CharMatcher.isNot(':')).or(CharMatcher.anyOf("!#$%&'*+^`|"));
        private static final CharMatcher HEADER_VALUE =
                CharMatcher.inRange(' ', '~').or(CharMatcher.is('\t'));

        /** Fields that the system sets itself, or that concern a connection: a client's are left out. */
        private static final Set<String> NOT_THE_CLIENTS = Set.of(
                "host",
                "attempt-id",
                "authorization",
                "tenant",
                "deadline-ms",
                "target-instance",
                "request-urgency",
                "last-event-id",
                "expected-revision",
                "content-length",
                "transfer-encoding",
                "connection",
                "keep-alive",
                "te",
                "trailer",
                "upgrade",
                "expect",
                "proxy-connection",
                "proxy-authenticate",
                "proxy-authorization");

        private final JobCall call;
        private final int maxWaitS;
        private final Set<String> ids = new HashSet<>();

        private Reader(JobCall call, int maxWaitS) {
            this.call = call;
            this.maxWaitS = maxWaitS;
        }

        private JobSubmission read() {
            JsonObject document;
            try (JsonReader reader = JSON.createReader(new ByteArrayInputStream(call.body()))) {
                document = reader.readObject();
            } catch (JsonException | IllegalStateException unreadable) {
                return new Refused(SubmissionError.UNREADABLE);
            }
            try {
                List<JsonObject> requests = document.getJsonArray("requests").getValuesAs(JsonObject.class);
                if (requests.isEmpty() || requests.size() > ITEMS_MAX) {
                    return new Refused(SubmissionError.ITEM_COUNT);
                }
                List<JobItemData> items = new ArrayList<>(requests.size());
                for (JsonObject request : requests) {
                    items.add(item(request));
                }
                return new Proper(
                        new JobAccepted(call.job(), call.route(), call.host(), call.tenant(), maxWaitS, items));
            } catch (RefusedItemException refused) {
                return new Refused(refused.error);
            } catch (ClassCastException | NullPointerException | ArithmeticException malformed) {
                return new Refused(SubmissionError.WRONG_FIELD);
            }
        }

        private JobItemData item(JsonObject request) throws RefusedItemException {
            String id = request.getString("instanceId");
            require(isId(id), SubmissionError.MALFORMED_ID);
            require(ids.add(id), SubmissionError.DOUBLED_ID);
            String path = request.getString("path");
            require(path.startsWith("/") && PATH.matchesAllOf(path), SubmissionError.MALFORMED_PATH);
            long tokens = request.getJsonNumber("tokenCount").longValueExact();
            require(tokens >= 0 && tokens <= TOKENS_MAX, SubmissionError.TOKEN_COUNT);
            return new JobItemData(id, path, tokens, headers(request), body(request));
        }

        private static byte[] headers(JsonObject request) throws RefusedItemException {
            StringBuilder block = new StringBuilder();
            JsonObject headers = request.getJsonObject("requestHeaders");
            if (headers == null) {
                return new byte[0];
            }
            for (Map.Entry<String, JsonValue> header : headers.entrySet()) {
                String name = header.getKey();
                String value = ((JsonString) header.getValue()).getString();
                boolean proper = !name.isEmpty() && HEADER_NAME.matchesAllOf(name) && HEADER_VALUE.matchesAllOf(value);
                require(proper, SubmissionError.MALFORMED_HEADER);
                if (!NOT_THE_CLIENTS.contains(name.toLowerCase(Locale.ROOT))) {
                    block.append(name).append(": ").append(value).append('\n');
                }
            }
            return block.toString().getBytes(UTF_8);
        }

        private static byte[] body(JsonObject request) throws RefusedItemException {
            try {
                return Base64.getDecoder().decode(request.getString("requestBody", ""));
            } catch (IllegalArgumentException malformed) {
                throw new RefusedItemException(SubmissionError.MALFORMED_BODY);
            }
        }

        private static void require(boolean proper, SubmissionError otherwise) throws RefusedItemException {
            if (!proper) {
                throw new RefusedItemException(otherwise);
            }
        }

        /** An item is not proper. */
        private static final class RefusedItemException extends Exception {
            private static final long serialVersionUID = 1;
            private final SubmissionError error;

            private RefusedItemException(SubmissionError error) {
                super(error.text());
                this.error = error;
            }
        }
    }
}
