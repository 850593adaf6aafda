package ringspindle.protocol;

/**
 * A node, by its inner address: IPv4 and port in one number.
 *
 * @param bits upper part the IPv4 number, lower 16 bits the port
 */
public record NodeId(long bits) implements Comparable<NodeId> {

    /**
     * Reads {@code ip:port}; {@code NodeId.of("10.1.0.13:8166").port()} is 8166.
     */
    public static NodeId of(String address) {
        int colon = address.lastIndexOf(':');
        String[] part = address.substring(0, colon).split("\\.");
        if (part.length != 4) {
            throw new IllegalArgumentException("not an IPv4 address: " + address);
        }
        long ip = 0;
        for (String p : part) {
            int octet = Integer.parseInt(p);
            if (octet < 0 || octet > 255) {
                throw new IllegalArgumentException("not an IPv4 address: " + address);
            }
            ip = ip << 8 | octet;
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("not a port: " + address);
        }
        return new NodeId(ip << 16 | port);
    }

    /** The same machine at another port; {@code NodeId.of("10.0.0.1:80").at(7720)} prints {@code 10.0.0.1:7720}. */
    public NodeId at(int port) {
        return new NodeId(bits >>> 16 << 16 | port);
    }

    /** {@code NodeId.of("10.0.0.1:80").ip()} is {@code "10.0.0.1"}. */
    public String ip() {
        long ip = bits >>> 16;
        return (ip >> 24 & 255) + "." + (ip >> 16 & 255) + "." + (ip >> 8 & 255) + "." + (ip & 255);
    }

    /** {@code NodeId.of("10.0.0.1:80").port()} is 80. */
    public int port() {
        return (int) (bits & 0xffff);
    }

    @Override
    public int compareTo(NodeId o) {
        return Long.compare(bits, o.bits);
    }

    /** {@code NodeId.of("10.0.0.1:80").toString()} is {@code "10.0.0.1:80"}. */
    @Override
    public String toString() {
        return ip() + ":" + port();
    }
}
