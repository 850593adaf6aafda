package ringspindle.edge;

import java.util.*;
import ringspindle.conf.*;

/** The clients' side of a data node, as the owner of what the node knows sees it. */
public interface Edge {
    /** The newest configuration in force here; older ones are ignored. */
    void config(FleetConfig c);

    /** A control node has told all that is in force. */
    void confirm();

    /** True while new clients are welcome. */
    boolean ready();

    /** Asks suspect engines for their health; {@code edge.probe()} on every tick. */
    void probe();

    /** Closes idle connections; {@code edge.tidy()} now and then. */
    void tidy();

    /** How many actions ended how; {@code edge.ends().get("COMPLETED")}. */
    Map<String, Long> ends();
}
