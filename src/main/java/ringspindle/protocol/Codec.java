package ringspindle.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.ViewDecoder;

/**
 * Messages to SBE bytes and back. The bytes are a message header and the message, without any length; each family of
 * messages has a codec of its own, which this class finds by the message's class or by the header's template id.
 */
public final class Codec {
    private static final int BUFFER_BYTES = 512;
    /** The fixed part of a view as the first version of the schema wrote it: its epoch alone. */
    private static final int VIEW_WITHOUT_BASE_LENGTH = Long.BYTES;

    private static final Map<Class<?>, MessageTemplate<?>> BY_TYPE = new HashMap<>();
    /** By template id; null where there is no such template. */
    private static final MessageTemplate<?>[] BY_ID;

    static {
        List<MessageTemplate<?>> templates = Stream.of(
                        SessionCodec.TEMPLATES,
                        ConsensusCodec.TEMPLATES,
                        ReplicationCodec.TEMPLATES,
                        OperationCodec.TEMPLATES,
                        GossipCodec.TEMPLATES,
                        TelemetryCodec.TEMPLATES,
                        CounterCodec.TEMPLATES,
                        BatchCodec.TEMPLATES,
                        ShardCodec.TEMPLATES,
                        JobRecordCodec.TEMPLATES,
                        TenantCodec.TEMPLATES)
                .<MessageTemplate<?>>flatMap(List::stream)
                .toList();
        int highest = templates.stream().mapToInt(MessageTemplate::id).max().orElseThrow();
        BY_ID = new MessageTemplate<?>[highest + 1];
        for (MessageTemplate<?> template : templates) {
            BY_ID[template.id()] = template;
            BY_TYPE.put(template.type(), template);
        }
    }

    private Codec() {}

    /** Encodes; {@code Codec.decode(Codec.encode(message)).equals(message)} for messages without arrays. */
    public static byte[] encode(Message message) {
        MutableDirectBuffer buffer = new ExpandableArrayBuffer(BUFFER_BYTES);
        int end = BY_TYPE.get(message.getClass()).write(message, buffer);
        byte[] bytes = new byte[end];
        buffer.getBytes(0, bytes);
        return bytes;
    }

    /** Decodes what {@link #encode} wrote, also under an earlier version of the schema; throws {@link FrameException} on anything else. */
    public static Message decode(byte[] bytes) {
        try {
            DirectBuffer buffer = new UnsafeBuffer(bytes);
            MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
            return template(header).read(buffer, header);
        } catch (IndexOutOfBoundsException | NegativeArraySizeException | ClassCastException e) {
            throw new FrameException(FrameException.Reason.GARBLED, "not a whole message", e);
        }
    }

    /** The template that the header names; throws {@link FrameException} if this program cannot read its messages. */
    private static MessageTemplate<?> template(MessageHeaderDecoder header) {
        if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
            throw new FrameException(FrameException.Reason.FOREIGN_SCHEMA, "schema " + header.schemaId());
        }
        if (header.version() > MessageHeaderDecoder.SCHEMA_VERSION) {
            throw new FrameException(FrameException.Reason.FOREIGN_VERSION, "version " + header.version());
        }
        int id = header.templateId();
        MessageTemplate<?> template = id < BY_ID.length ? BY_ID[id] : null;
        if (template == null) {
            throw new FrameException(FrameException.Reason.UNKNOWN_TEMPLATE, "template " + id);
        }
        if (header.blockLength() != blockLength(template, header.version())) {
            throw new FrameException(FrameException.Reason.FOREIGN_VERSION, "fixed part of " + header.blockLength());
        }
        return template;
    }

    /** How long a message's fixed part is under a version of the schema. */
    private static int blockLength(MessageTemplate<?> template, int version) {
        boolean viewWithoutBase =
                template.id() == ViewDecoder.TEMPLATE_ID && version < ViewDecoder.baseLineageSinceVersion();
        return viewWithoutBase ? VIEW_WITHOUT_BASE_LENGTH : template.blockLength();
    }
}
