# build, test, lint, format, run: what a newcomer needs
.PHONY: build test lint format run clean lab capacity scale micro

# deploy/balancer.toml says how the program is built and started; these two follow it.
build:
	@sh -c "$$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

# Known failures, one 'TestClass#test: cause (issue)' a line, are printed and left out; everything else has to pass.
test:
	@mkdir -p target
	@if [ -s KNOWN-RED.txt ]; then echo "Known failures, left out:"; cat KNOWN-RED.txt; fi
	@sed -n 's|^\([A-Za-z0-9]*#[A-Za-z0-9]*\):.*|**/\1|p' KNOWN-RED.txt 2>/dev/null >target/known-red || true
	mvn -B verify $$(test -s target/known-red && echo -Dsurefire.excludesFile=$(CURDIR)/target/known-red)

lint:
	mvn -B -q verify -DskipTests

format:
	mvn -B -q spotless:apply

run: build
	@sh -c "$$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)"

clean:
	mvn -q clean

# The scheduler has processor 0 to itself; stand-ins and clients take the others.
lab: build
	mvn -q -DskipTests -pl lab -am package

capacity: lab
	taskset -c 1-$$(($$(nproc) - 1)) java -jar lab/target/hookweir-lab.jar capacity $(ARGS)

# Hollow workers and schedulers in simulated time, all sizes, loads and failures of docs/CAPACITY.md; some minutes.
scale: lab
	java -jar lab/target/hookweir-lab.jar scale --sweep --out target/scale $(ARGS)

micro:
	mvn -q -DskipTests -pl bench -am package
	java -jar bench/target/hookweir-bench.jar -rf json -rff target/micro.json $(ARGS)
