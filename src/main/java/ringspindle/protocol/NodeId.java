package ringspindle.protocol;

/**
 * A node, by its inner address: IPv4 and port in one number.
 *
 * @param bits upper part the IPv4 number, lower 16 bits the port
 */
public record NodeId(long bits) implements Comparable<NodeId> {
    private static final int PORT_BITS = 16;
    private static final int PORT_MAX = (1 << PORT_BITS) - 1;
    private static final int OCTETS = 4;
    private static final int OCTET_BITS = 8;
    private static final int OCTET_MAX = (1 << OCTET_BITS) - 1;

    /**
     * Reads {@code ip:port}; {@code NodeId.of("10.1.0.13:8166").port()} is 8166. Throws {@link IllegalArgumentException} or
     * {@link IndexOutOfBoundsException} on anything else.
     */
    public static NodeId of(String address) {
        int colon = address.lastIndexOf(':');
        long ip = ip(address, address.substring(0, colon));
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > PORT_MAX) {
            throw new IllegalArgumentException("not a port: " + address);
        }
        return new NodeId(ip << PORT_BITS | port);
    }

    private static long ip(String address, String host) {
        String[] octets = host.split("\\.");
        if (octets.length != OCTETS) {
            throw notIpv4(address);
        }
        long ip = 0;
        for (String text : octets) {
            int octet = Integer.parseInt(text);
            if (octet < 0 || octet > OCTET_MAX) {
                throw notIpv4(address);
            }
            ip = ip << OCTET_BITS | octet;
        }
        return ip;
    }

    private static IllegalArgumentException notIpv4(String address) {
        return new IllegalArgumentException("not an IPv4 address: " + address);
    }

    /** The same machine at another port; {@code NodeId.of("10.0.0.1:80").at(7720)} prints {@code 10.0.0.1:7720}. */
    public NodeId at(int port) {
        return new NodeId(bits >>> PORT_BITS << PORT_BITS | port);
    }

    /** {@code NodeId.of("10.0.0.1:80").ip()} is {@code "10.0.0.1"}. */
    public String ip() {
        return octet(3) + "." + octet(2) + "." + octet(1) + "." + octet(0);
    }

    /** An octet of the IPv4 number, 0 for the last one. */
    private long octet(int fromLast) {
        return bits >>> PORT_BITS >> fromLast * OCTET_BITS & OCTET_MAX;
    }

    /** {@code NodeId.of("10.0.0.1:80").port()} is 80. */
    public int port() {
        return (int) (bits & PORT_MAX);
    }

    /** Written out, as is {@link #hashCode}: what a record makes of itself is linked at run time, which costs each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId node && node.bits == bits;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(bits);
    }

    @Override
    public int compareTo(NodeId other) {
        return Long.compare(bits, other.bits);
    }

    /** {@code NodeId.of("10.0.0.1:80").toString()} is {@code "10.0.0.1:80"}. */
    @Override
    public String toString() {
        return ip() + ":" + port();
    }
}
