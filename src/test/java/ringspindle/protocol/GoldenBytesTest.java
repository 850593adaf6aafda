package ringspindle.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Every message is written as the same bytes as by the code of commit 879a0b1, whose bytes stand in the resource: nodes
 * of both versions talk with each other, and what one has stored the other reads. Messages that came later stand behind these,
 * as they were first written.
 */
class GoldenBytesTest {
    private static final String RESOURCE = "/golden-bytes-879a0b1.txt";
    private static final int TEMPLATE_OFFSET = 2;
    private static final int TEMPLATES = 49;

    /** Lines {@code NAME=HEX}. */
    private static Map<String, String> recorded() throws IOException {
        Map<String, String> lines = new LinkedHashMap<>();
        try (InputStream in = GoldenBytesTest.class.getResourceAsStream(RESOURCE)) {
            assertNotNull(in, RESOURCE);
            new String(in.readAllBytes(), UTF_8).lines().forEach(line -> {
                int separator = line.indexOf('=');
                lines.put(line.substring(0, separator), line.substring(separator + 1));
            });
        }
        return lines;
    }

    private static String hex(Message message) {
        return HexFormat.of().formatHex(Codec.encode(message));
    }

    @Test
    void everyMessageIsWrittenAsBefore() throws Exception {
        Map<String, String> recorded = recorded();
        Map<String, Message> messages = GoldenMessages.all();
        assertEquals(List.copyOf(recorded.keySet()), List.copyOf(messages.keySet()));
        messages.forEach((name, message) -> assertEquals(recorded.get(name), hex(message), name));
    }

    @Test
    void everyTemplateIsThere() throws Exception {
        TreeSet<Integer> templates = new TreeSet<>();
        for (String hex : recorded().values()) {
            templates.add((int) HexFormat.of().parseHex(hex)[TEMPLATE_OFFSET]);
        }
        assertEquals(TEMPLATES, templates.size());
        assertEquals(TEMPLATES, templates.last());
        TreeSet<String> kinds = new TreeSet<>();
        for (Class<?> family : List.of(Message.class, BatchMessage.class, ShardMessage.class, TenantMessage.class)) {
            for (Class<?> kind : family.getPermittedSubclasses()) {
                kinds.add(kind.getSimpleName());
            }
        }
        kinds.removeAll(List.of("BatchMessage", "ShardMessage", "TenantMessage"));
        TreeSet<String> covered = new TreeSet<>();
        GoldenMessages.all().values().forEach(m -> covered.add(m.getClass().getSimpleName()));
        assertEquals(kinds, covered);
    }

    @Test
    void recordedBytesAreReadAndWrittenBack() throws Exception {
        Map<String, Message> messages = GoldenMessages.all();
        List<String> notWhole = new ArrayList<>();
        recorded().forEach((name, hex) -> {
            Message read = Codec.decode(HexFormat.of().parseHex(hex));
            assertEquals(messages.get(name).getClass(), read.getClass(), name);
            if (!hex.equals(hex(read))) {
                notWhole.add(name);
            }
        });
        assertTrue(notWhole.isEmpty(), notWhole::toString);
    }

    /** Messages with arrays have no equality of their own; {@link #recordedBytesAreReadAndWrittenBack} covers these. */
    @Test
    void recordedBytesAreReadAsTheMessages() throws Exception {
        List<String> withArrays = List.of(
                "Install",
                "Entry",
                "State",
                "Call",
                "Reply",
                "Op",
                "News",
                "Digest",
                "JobCall",
                "JobReply",
                "ItemRun",
                "ItemEnd",
                "ShardAppend",
                "ShardEntry",
                "JobAccepted",
                "JobListed");
        Map<String, Message> messages = GoldenMessages.all();
        recorded().forEach((name, hex) -> {
            if (!withArrays.contains(name.substring(0, name.indexOf('.')))) {
                assertEquals(messages.get(name), Codec.decode(HexFormat.of().parseHex(hex)), name);
            }
        });
    }
}
