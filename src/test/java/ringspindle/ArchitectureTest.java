package ringspindle;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.properties.HasName;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;

/** Which package may use which, and what state machines keep away from: clocks, sockets, threads and chance. */
class ArchitectureTest {
    private static final String ROOT = "ringspindle";

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(ROOT);

    /**
     * The packages, lowest first, and the packages of the project that each may use. A new package, or a new dependency
     * between two, is a decision on the design and is entered here. Uses that are to go are in {@link #EXCEPTIONS}.
     */
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            Map.entry("sbe", Set.of()),
            Map.entry("time", Set.of()),
            Map.entry("logging", Set.of()),
            Map.entry("api", Set.of()),
            Map.entry("retry", Set.of()),
            Map.entry("protocol", Set.of("sbe")),
            Map.entry("config", Set.of("protocol")),
            Map.entry("tenancy", Set.of("config")),
            Map.entry("quota", Set.of("protocol")),
            Map.entry("metering", Set.of("protocol")),
            Map.entry("metrics", Set.of("protocol")),
            Map.entry("peering", Set.of("protocol")),
            Map.entry("batch", Set.of("protocol")),
            Map.entry("shard", Set.of("protocol")),
            Map.entry("transport", Set.of("peering", "protocol", "time")),
            Map.entry("storage", Set.of("protocol", "sbe")),
            Map.entry("gossip", Set.of("protocol")),
            Map.entry("telemetry", Set.of("protocol")),
            Map.entry("consensus", Set.of("protocol")),
            Map.entry("routing", Set.of("config", "protocol", "retry")),
            Map.entry("experiment", Set.of("config", "protocol", "routing")),
            Map.entry("counter", Set.of("api", "protocol")),
            Map.entry(
                    "replication", Set.of("api", "config", "consensus", "experiment", "protocol", "routing", "shard")),
            Map.entry("rollout", Set.of("replication")),
            Map.entry("membership", Set.of("protocol")),
            Map.entry("loadbalancing", Set.of("api", "config", "protocol", "retry", "routing", "telemetry")),
            Map.entry(
                    "proxy",
                    Set.of(
                            "api",
                            "config",
                            "experiment",
                            "loadbalancing",
                            "metrics",
                            "protocol",
                            "retry",
                            "routing",
                            "shard",
                            "tenancy",
                            "telemetry",
                            "time",
                            "transport")),
            Map.entry(
                    "dataplane",
                    Set.of(
                            "api",
                            "config",
                            "experiment",
                            "gossip",
                            "loadbalancing",
                            "membership",
                            "metering",
                            "metrics",
                            "protocol",
                            "proxy",
                            "quota",
                            "retry",
                            "routing",
                            "shard",
                            "telemetry",
                            "time",
                            "transport")),
            Map.entry(
                    "controlplane",
                    Set.of(
                            "api",
                            "config",
                            "consensus",
                            "counter",
                            "experiment",
                            "gossip",
                            "membership",
                            "metering",
                            "metrics",
                            "peering",
                            "protocol",
                            "quota",
                            "replication",
                            "rollout",
                            "routing",
                            "shard",
                            "storage",
                            "telemetry",
                            "time",
                            "transport")),
            Map.entry(
                    "cli",
                    Set.of(
                            "api",
                            "config",
                            "controlplane",
                            "dataplane",
                            "experiment",
                            "loadbalancing",
                            "protocol",
                            "quota",
                            "routing",
                            "telemetry",
                            "transport")),
            Map.entry(
                    "storagenode",
                    Set.of(
                            "batch",
                            "config",
                            "dataplane",
                            "experiment",
                            "gossip",
                            "loadbalancing",
                            "membership",
                            "metrics",
                            "protocol",
                            "proxy",
                            "routing",
                            "shard",
                            "storage",
                            "time",
                            "transport")),
            Map.entry("", Set.of("cli", "config", "controlplane", "dataplane", "logging", "storagenode")));

    /**
     * Single uses outside {@link #MAY_USE}, {@code using package -> used class}.
     *
     * <ul>
     *   <li>{@code BoundedBody} reads a request's body up to a bound and is of use to both planes; it belongs in
     *       {@code transport}.
     *   <li>{@code Rollout} and {@code VersionRollout} are the replicated records of roll-outs, which the data nodes read too.
     * </ul>
     */
    private static final Set<String> EXCEPTIONS = Set.of(
            "controlplane -> proxy.BoundedBody",
            "dataplane -> replication.Rollout",
            "dataplane -> replication.VersionRollout");

    /** Packages whose state changes by nothing but calls: time, messages and seeds come in as arguments. */
    private static final String[] STATE_MACHINES = {
        "ringspindle.replication..",
        "ringspindle.consensus..",
        "ringspindle.counter..",
        "ringspindle.batch..",
        "ringspindle.shard..",
        "ringspindle.tenancy..",
        "ringspindle.quota..",
        "ringspindle.metering..",
        "ringspindle.retry..",
        "ringspindle.rollout..",
        "ringspindle.experiment..",
        "ringspindle.membership..",
        "ringspindle.peering..",
        "ringspindle.gossip..",
        "ringspindle.telemetry..",
        "ringspindle.loadbalancing..",
        "ringspindle.routing.."
    };

    @Test
    void packagesUseOnlyWhatTheyMay() {
        classes().should(useOnlyPackagesThatTheyMay()).check(CLASSES);
    }

    @Test
    void packagesFormNoCycles() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    /** The rooms of the control plane: the program and its interface use the node, and the node what it learns of the fleet. */
    @Test
    void roomsOfTheControlPlaneFormNoCycles() {
        noClasses()
                .that()
                .resideInAnyPackage("ringspindle.controlplane", "ringspindle.controlplane.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("ringspindle.controlplane.server")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("ringspindle.controlplane.fleet")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("ringspindle.controlplane")
                .check(CLASSES);
    }

    @Test
    void stateMachinesReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_MACHINES)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethodWhere(describe(
                        "the time of day is asked for",
                        call -> call.getTarget().getName().equals("now")
                                && isAnyOf(call, Instant.class, LocalDateTime.class, ZonedDateTime.class)))
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Clock.class)
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("ringspindle.time..")
                .check(CLASSES);
    }

    /** A generator that is made from a given seed is an input like any other, and makes runs repeatable. */
    @Test
    void stateMachinesLeaveNothingToChance() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_MACHINES)
                .should()
                .callConstructor(Random.class)
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(ThreadLocalRandom.class)
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.security.SecureRandom")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.SplittableRandom")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.UUID")
                .check(CLASSES);
    }

    @Test
    void stateMachinesOpenNoSocketsAndFiles() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_MACHINES)
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "java.net..", "java.nio.channels..", "java.nio.file..", "javax.net..", "org.eclipse.jetty.."))
                .check(CLASSES);
    }

    @Test
    void stateMachinesStartNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(STATE_MACHINES)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class)
                .orShould()
                .dependOnClassesThat(describe(
                        "are executors or timers",
                        used -> used.getPackageName().equals("java.util.concurrent")
                                && (used.getSimpleName().contains("Executor")
                                        || used.getSimpleName().contains("Future"))))
                .check(CLASSES);
    }

    @Test
    void onlyTheCommandLineAndTheLogWriteToStandardStreams() {
        noClasses()
                .that(describe(
                        "are neither the program nor the log",
                        type -> !type.getPackageName().equals(ROOT)
                                && !type.getPackageName().equals(ROOT + ".logging")))
                .should()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .check(CLASSES);
    }

    private static boolean isAnyOf(JavaCall<?> call, Class<?>... types) {
        return Set.of(types).stream().anyMatch(type -> call.getTargetOwner().isEquivalentTo(type));
    }

    private static ArchCondition<JavaClass> useOnlyPackagesThatTheyMay() {
        return new ArchCondition<>("use only the packages of the project that their own package may use") {
            @Override
            public void check(JavaClass type, ConditionEvents events) {
                String using = packageOf(type);
                if (!MAY_USE.containsKey(using)) {
                    events.add(SimpleConditionEvent.violated(
                            type, type.getName() + " is in a package that MAY_USE lacks"));
                    return;
                }
                type.getDirectDependenciesFromSelf().stream()
                        .filter(dependency -> isOfTheProject(dependency.getTargetClass()))
                        .filter(dependency -> !isAllowed(using, dependency))
                        .map(Dependency::getDescription)
                        .forEach(text -> events.add(SimpleConditionEvent.violated(type, text)));
            }
        };
    }

    private static boolean isAllowed(String using, Dependency dependency) {
        JavaClass used = dependency.getTargetClass().getBaseComponentType();
        String usedPackage = packageOf(used);
        return usedPackage.equals(using)
                || MAY_USE.get(using).contains(usedPackage)
                || usedPackage.equals("logging") // the names of fields; every package may log
                || EXCEPTIONS.contains(using + " -> " + outermost(used).substring(ROOT.length() + 1));
    }

    private static boolean isOfTheProject(JavaClass type) {
        return type.getBaseComponentType().getPackageName().startsWith(ROOT);
    }

    private static String outermost(HasName type) {
        String name = type.getName();
        return name.contains("$") ? name.substring(0, name.indexOf('$')) : name;
    }

    /** The first package below the project's, empty for the project's own; packages below it count with it. */
    private static String packageOf(JavaClass type) {
        String name = type.getPackageName();
        if (name.equals(ROOT)) {
            return "";
        }
        String below = name.substring(ROOT.length() + 1);
        return below.contains(".") ? below.substring(0, below.indexOf('.')) : below;
    }
}
