package ringspindle.protocol;

import org.agrona.DirectBuffer;
import org.agrona.MutableDirectBuffer;
import ringspindle.sbe.MessageHeaderDecoder;
import ringspindle.sbe.MessageHeaderEncoder;

/**
 * One message template of the SBE schema, and how its messages are written and read.
 *
 * @param id the template id in the message header
 * @param blockLength bytes of the fixed part, in the version of the schema that this program writes
 * @param type the class of its messages
 */
record MessageTemplate<M extends Message>(int id, int blockLength, Class<M> type, Writer<M> writer, Reader<M> reader) {

    /** Writes a message. */
    @FunctionalInterface
    interface Writer<M extends Message> {
        /** Writes header and message from the start of the buffer, and returns the offset behind them. */
        int write(M message, MutableDirectBuffer buffer, MessageHeaderEncoder header);
    }

    /** Reads a message. */
    @FunctionalInterface
    interface Reader<M extends Message> {
        /** Reads the message behind a header that has been checked; the buffer holds nothing else. */
        M read(DirectBuffer buffer, MessageHeaderDecoder header);
    }

    /** Writes a message of this template; returns the offset behind it, or throws if the message is of another one. */
    int write(Message message, MutableDirectBuffer buffer) {
        return writer.write(type.cast(message), buffer, new MessageHeaderEncoder());
    }

    /** Reads a message of this template. */
    M read(DirectBuffer buffer, MessageHeaderDecoder header) {
        return reader.read(buffer, header);
    }
}
