package ringspindle.cli;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.beust.jcommander.JCommander;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.Main;

/** Exit codes and texts, against a control node that answers by script. */
@Timeout(60)
class CliTest {
    private static final String CONFIG =
            "{\"revision\":4,\"routes\":[{\"name\":\"c\",\"host\":\"h\",\"pathPrefix\":\"/c/\",\"routeKind\":"
                    + "\"idempotent\",\"deadlineMs\":1,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],"
                    + "\"tenants\":[{\"name\":\"kaje80\",\"priority\":1,\"ratePerS\":40,\"burstSize\":10,"
                    + "\"apiKeys\":[\"secret-1\",\"secret-2\"]}]}";

    @TempDir
    Path folder;

    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        out.reset();
        err.reset();
        Cli cli = new Cli(new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
        JCommander parser = JCommander.newBuilder().build();
        cli.options().forEach(parser::addCommand);
        parser.parse(args);
        return cli.run(parser.getParsedCommand());
    }

    /** A control node with one answer for all calls; configurations are read back as {@link #CONFIG}. */
    private String control(int status, String body) throws IOException {
        ServerSocket s = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread t = new Thread(() -> {
            while (true) {
                try (Socket c = s.accept()) {
                    BufferedReader in = new BufferedReader(new InputStreamReader(c.getInputStream(), ISO_8859_1));
                    String line = in.readLine();
                    int length = 0;
                    String base = "";
                    for (String h = in.readLine(); h != null && !h.isEmpty(); h = in.readLine()) {
                        length = h.toLowerCase(Locale.ROOT).startsWith("content-length:")
                                ? Integer.parseInt(h.substring(15).trim())
                                : length;
                        base = h.startsWith("If-Match:") ? h.substring(9).trim() : base;
                    }
                    for (int i = 0; i < length; i++) {
                        in.read();
                    }
                    asked.add(line + " " + base);
                    boolean read = line.startsWith("GET /ringspindle/configuration");
                    byte[] b = (read ? CONFIG : body).getBytes(UTF_8);
                    c.getOutputStream()
                            .write(("HTTP/1.1 " + (read ? 200 : status) + " X\r\nConnection: close\r\nContent-Length: "
                                            + b.length + "\r\n\r\n")
                                    .getBytes(ISO_8859_1));
                    c.getOutputStream().write(b);
                } catch (IOException x) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
        return "127.0.0.1:" + s.getLocalPort();
    }

    private String file(String text) throws IOException {
        Path f = folder.resolve("f" + System.identityHashCode(text) + ".json");
        Files.writeString(f, text);
        return f.toString();
    }

    @Test
    void takenRefusedAndNotReachedAreToldApart() throws Exception {
        assertEquals(ExitCode.OK, run("evacuate", "z", "-c", control(200, "")));
        assertEquals("done\n", out.toString(UTF_8));
        assertEquals(
                ExitCode.REFUSED, run("evacuate", "z", "-c", control(404, "{\"error\":\"NO_SUCH\",\"text\":\"\"}")));
        assertTrue(err.toString(UTF_8).contains("NO_SUCH"));
        assertEquals(ExitCode.NOT_REACHED, run("evacuate", "z", "-c", control(503, "")));
        assertEquals(ExitCode.USAGE, run("evacuate", "-c", control(200, "")));
        assertEquals(ExitCode.USAGE, run("status", "-c", "nonsense"));
    }

    @Test
    void whatCannotBeReadOrReachedIsExplained() {
        assertEquals(ExitCode.USAGE, run("status", "-c", ","));
        assertTrue(err.toString(UTF_8).contains("no address among the control nodes"));
        assertEquals(ExitCode.USAGE, run("rules", "check", folder.toString()));
        assertTrue(err.toString(UTF_8).contains("cannot read " + folder + ": it is a directory"));
        assertEquals(
                ExitCode.USAGE, run("config", "check", folder.resolve("none").toString()));
        assertTrue(err.toString(UTF_8).contains("there is no such file"));
    }

    @Test
    void nextNodeIsAskedWhenOneGivesNoClearAnswer() throws Exception {
        assertEquals(ExitCode.OK, run("restore", "z", "-c", control(503, "") + "," + control(200, "")));
        assertEquals(2, asked.size());
    }

    @Test
    void configurationsBuildOnWhatIsInForce() throws Exception {
        String node = control(200, "");
        assertEquals(ExitCode.OK, run("config", "put", file(CONFIG.replace(":4,", ":9,")), "-c", node));
        assertEquals("PUT /ringspindle/configuration HTTP/1.1 4", asked.get(asked.size() - 1));
        assertEquals(ExitCode.OK, run("config", "patch", file("{\"revision\":9}"), "--base", "3", "-c", node));
        assertEquals("PATCH /ringspindle/configuration HTTP/1.1 3", asked.get(asked.size() - 1));
        assertEquals(
                ExitCode.OK,
                run("config", "diff", file(CONFIG.replace("/c/", "/d/").replace(":4,", ":9,")), "-c", node));
        assertTrue(out.toString(UTF_8).contains("~ routes c"), out.toString(UTF_8));
        assertEquals(ExitCode.OK, run("mappings", "-c", node));
        assertTrue(out.toString(UTF_8).contains("/c/"), out.toString(UTF_8));
    }

    @Test
    void checkWorksOfflineWithTheControlPlanesOwnChecks() throws Exception {
        assertEquals(ExitCode.OK, run("config", "check", file(CONFIG)));
        assertEquals(
                ExitCode.REFUSED, run("config", "check", file(CONFIG.replace("\"deadlineMs\":1", "\"deadlineMs\":0"))));
        assertTrue(err.toString(UTF_8).contains("deadlineMs of route c is 0"), err.toString(UTF_8));
        assertEquals(
                ExitCode.USAGE, run("config", "check", folder.resolve("none").toString()));
    }

    @Test
    void shardsAreShownAndStorageNodesRetired() throws Exception {
        String shards = "{\"node\":\"c\",\"shards\":[{\"shard\":3,\"condition\":\"LEADER_OUT_OF_TOUCH\",\"epoch\":2,"
                + "\"leader\":\"10.0.0.1:7002\",\"members\":[\"10.0.0.1:7002\"],\"learners\":[]},"
                + "{\"shard\":4,\"condition\":\"NOT_ASSIGNED\"}]}";
        assertEquals(ExitCode.OK, run("storage", "-c", control(200, shards)));
        assertTrue(out.toString(UTF_8).contains("LEADER_OUT_OF_TOUCH"), out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("NOT_ASSIGNED"), out.toString(UTF_8));
        assertEquals(ExitCode.OK, run("storage", "-c", control(200, "{\"node\":\"c\"}")));
        assertTrue(out.toString(UTF_8).contains("no storage nodes"), out.toString(UTF_8));
        assertEquals(ExitCode.OK, run("storage", "retire", "s-1", "-c", control(200, "")));
        assertEquals("POST /ringspindle/retire/s-1 HTTP/1.1 ", asked.get(asked.size() - 1));
        assertEquals(ExitCode.REFUSED, run("storage", "retire", "s-1", "-c", control(409, "")));
        assertEquals(ExitCode.OK, run("storage", "retirement", "s-1", "-c", control(200, "{\"state\":\"active\"}")));
        assertTrue(out.toString(UTF_8).contains("s-1 active"), out.toString(UTF_8));
        assertEquals(ExitCode.USAGE, run("storage", "retire", "-c", control(200, "")));
        assertEquals(ExitCode.USAGE, run("storage", "empty", "s-1", "-c", control(200, "")));
    }

    @Test
    void tenantsAreShownWithoutTheirKeys() throws Exception {
        String node = control(200, "");
        assertEquals(ExitCode.OK, run("tenants", "-c", node));
        assertTrue(out.toString(UTF_8).contains("kaje80  1"), out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("34.0"), "refill of 40 a second");
        assertTrue(!out.toString(UTF_8).contains("secret"), "no key is shown");
        assertEquals(ExitCode.OK, run("tenants", "other", "-c", node));
        assertTrue(out.toString(UTF_8).contains("no tenants"), out.toString(UTF_8));
    }

    @Test
    void rolloutsAreOrdered() throws Exception {
        String node = control(200, "{\"rollouts\":[]}");
        assertEquals(ExitCode.OK, run("rollout", "start", "s", "--target", "8", "--floor", "0.5", "-c", node));
        assertEquals("POST /ringspindle/rollouts/s HTTP/1.1 ", asked.get(asked.size() - 1));
        assertEquals(ExitCode.USAGE, run("rollout", "start", "s", "-c", node));
        assertEquals(ExitCode.USAGE, run("rollout", "dance", "s", "-c", node));
        assertEquals(ExitCode.OK, run("rollout", "-c", node));
    }

    @Test
    void programRefusesBadCommandsAndSettings() throws Exception {
        assertEquals(ExitCode.USAGE, Main.run(new String[] {}));
        assertEquals(ExitCode.USAGE, Main.run(new String[] {"dance"}));
        assertEquals(ExitCode.USAGE, Main.run(new String[] {
            "data-plane", "--settings", folder.resolve("none").toString()
        }));
        assertEquals(ExitCode.USAGE, Main.run(new String[] {"control-plane", "--settings", file("node.name=x")}));
        assertEquals(ExitCode.OK, Main.run(new String[] {"rollout", "--help"}));
    }

    private static final String RULES =
            "{\"revision\":3,\"rules\":[{\"name\":\"digests\",\"match\":{\"prompt\":{\"from\":5000}},"
                    + "\"class\":{\"rank\":2,\"waitMs\":900},\"affinity\":{\"by\":\"prompt\",\"parts\":1},\"busy\":[{\"to\":\"next\",\"waitMs\":100}]}]}";

    @Test
    void exitCodesKeepTheirNumbers() {
        assertEquals(0, ExitCode.OK.value());
        assertEquals(1, ExitCode.FAILED.value());
        assertEquals(2, ExitCode.USAGE.value());
        assertEquals(3, ExitCode.REFUSED.value());
        assertEquals(4, ExitCode.NOT_REACHED.value());
    }

    @Test
    void rulesAreCheckedOfflineExplainedAndCompared() throws Exception {
        assertEquals(ExitCode.OK, run("rules", "check", file(RULES)));
        assertEquals(ExitCode.REFUSED, run("rules", "check", file(RULES.replace("next", "moon"))));
        assertTrue(err.toString(UTF_8).contains("rules[0].busy[0].to is moon"), err.toString(UTF_8));
        assertEquals(
                ExitCode.REFUSED,
                run(
                        "rules",
                        "check",
                        file(RULES.replace("\"prompt\":{\"from\":5000}", "\"route\":\"none\"")),
                        "--config",
                        file(CONFIG)));
        assertTrue(err.toString(UTF_8).contains("rules[0].match.route names none"), err.toString(UTF_8));
        assertEquals(ExitCode.USAGE, run("rules", "check"));
        assertEquals(
                ExitCode.OK,
                run("rules", "explain", "--file", file(RULES), "--prompt", "17000", "--prefix", "aa:13000,bb:4000"));
        assertTrue(out.toString(UTF_8).contains("digests of revision 3"), out.toString(UTF_8));
        assertTrue(out.toString(UTF_8).contains("after 100 ms next"), out.toString(UTF_8));
        String node = control(200, RULES);
        assertEquals(
                ExitCode.OK,
                run("rules", "diff", file(RULES.replace(":3,", ":4,").replace("900", "800")), "-c", node));
        assertTrue(out.toString(UTF_8).contains("~ digests"), out.toString(UTF_8));
        assertEquals(ExitCode.OK, run("rules", "put", file(RULES.replace(":3,", ":4,")), "-c", node));
        assertEquals("PUT /ringspindle/rules HTTP/1.1 3", asked.get(asked.size() - 1));
        assertEquals(
                ExitCode.REFUSED,
                run(
                        "rules",
                        "put",
                        file(RULES),
                        "--base",
                        "1",
                        "-c",
                        control(412, "{\"error\":\"OTHER_VERSION\",\"text\":\"\"}")));
        assertEquals(ExitCode.NOT_REACHED, run("rules", "get", "-c", control(503, "")));
        assertEquals(ExitCode.USAGE, run("rules", "dance", "-c", node));
    }

    @Test
    void talliesShowWhereTotalsDifferAndEndBadlyWhileANodeIsCutOff() throws Exception {
        String page =
                "{\"sessions\":[],\"node\":\"c0\",\"joined\":true,\"isolated\":false,\"instances\":3,\"unconfirmed\":0,"
                        + "\"totals\":{\"t1\":7,\"t2\":-12345678901234567890},"
                        + "\"peers\":[{\"node\":\"a:1\",\"inTouch\":true,\"lacks\":2}]}";
        String other = control(200, page.replace("\"c0\"", "\"c1\"").replace(":7,", ":8,"));
        assertEquals(ExitCode.OK, run("tallies", "-c", control(200, page) + "," + other));
        String printed = out.toString(UTF_8);
        assertTrue(printed.contains("-12345678901234567890") && printed.contains("c0, c1"), printed);
        assertTrue(printed.lines().filter(line -> line.startsWith("t1")).count() == 2, printed);
        assertEquals(
                ExitCode.FAILED,
                run("tallies", "-c", control(200, page.replace("\"isolated\":false", "\"isolated\":true"))));
        assertEquals(ExitCode.FAILED, run("tallies", "t1", "--json", "-c", control(200, page) + "," + "127.0.0.1:1"));
        assertEquals(ExitCode.NOT_REACHED, run("tallies", "-c", control(503, "")));
    }

    @Test
    void statusAndLedgerEndBadlyUnlessAllIsKnownAndWell() throws Exception {
        String node = "{\"node\":\"a:1\",\"name\":\"a\",\"zone\":\"z\",\"region\":\"r\",\"life\":1,\"inTouch\":true}";
        String row =
                "{\"revision\":3,\"class\":\"c\",\"admitted\":5,\"inProgress\":1,\"completed\":4,\"clientGone\":0,\"overdue\":0,\"nodeEnds\":0,"
                        + "\"givenUp\":0,\"sent\":5,\"notRun\":0,\"mayHaveRun\":5,\"resumed\":0,\"runTwice\":0}";
        String life = "{\"node\":\"a:1\",\"life\":1,\"seq\":2,\"revision\":3,\"digest\":\"d\",\"broken\":[],\"rows\":["
                + row + "]}";
        String good = "{\"sessions\":[],\"revision\":3,\"digest\":\"d\",\"idle\":[],\"nodes\":[" + node
                + "],\"ledgers\":[" + life + "]}";
        assertEquals(ExitCode.OK, run("rules", "status", "-c", control(200, good)));
        assertTrue(out.toString(UTF_8).contains("every node in touch follows them"), out.toString(UTF_8));
        assertEquals(ExitCode.OK, run("ledger", "-c", control(200, good)));
        assertEquals(
                ExitCode.FAILED,
                run(
                        "rules",
                        "status",
                        "-c",
                        control(
                                200,
                                good.replace(
                                        "\"revision\":3,\"digest\":\"d\",\"broken\"",
                                        "\"revision\":2,\"digest\":\"d\",\"broken\""))));
        assertTrue(out.toString(UTF_8).contains("a at 2"), out.toString(UTF_8));
        assertEquals(
                ExitCode.FAILED, run("ledger", "-c", control(200, good.replace("\"completed\":4", "\"completed\":3"))));
        assertTrue(err.toString(UTF_8).contains("broken law: SUM"), err.toString(UTF_8));
        assertEquals(
                ExitCode.FAILED,
                run("rules", "status", "-c", control(200, good) + "," + "127.0.0.1:1"),
                "a control node that is not reached");
        assertEquals(ExitCode.NOT_REACHED, run("ledger", "-c", control(503, "")));
    }
}
