package ringspindle.meet;

import java.util.List;
import ringspindle.know.Book;
import ringspindle.wire.Codec;
import ringspindle.wire.FrameException;
import ringspindle.wire.Msg.Engine;
import ringspindle.wire.Msg.Item;
import ringspindle.wire.Msg.Lease;

/** Checks facts that come over the wire before any of them is taken. Pure. */
public final class Facts {
    private Facts() {}

    /** Throws if the value of any of these cannot be read; {@code Facts.check(news.items()); book.merge(news.items())}. */
    public static void check(List<Item> items) {
        items.forEach(Facts::check);
    }

    private static void check(Item item) {
        try {
            if (!readable(item)) {
                throw new FrameException(FrameException.Reason.GARBLED, "fact of kind " + item.kind());
            }
        } catch (FrameException x) {
            throw x;
        } catch (RuntimeException x) {
            throw new FrameException(FrameException.Reason.GARBLED, "fact of kind " + item.kind(), x);
        }
    }

    private static boolean readable(Item item) {
        return switch (item.kind()) {
            case Book.ENGINE -> Codec.decode(item.value()) instanceof Engine;
            case Book.LEASE -> Codec.decode(item.value()) instanceof Lease;
            case Book.NODE -> Roster.of(item.value()).hello() != null;
            case Book.SILENT -> item.value().length == 1;
            default -> true;
        };
    }
}
