#!/bin/sh
# Plays a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
folder=$(cd "$2" && pwd) || exit 2
classes=$root/review/standin-2/classes
if [ ! -f "$root/node/target/hookweir.jar" ] || [ ! -f "$classes/$1.class" ]; then
    echo "could not run: first run the build command of deploy/balancer.toml and review/build-2.sh"
    exit 2
fi
# The run command of the deploy file, with which the stand-ins start the scheduler.
command=$(sed -n 's/^run = "\(.*\)"[^"]*$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$command" ]; then
    echo "could not run: deploy/balancer.toml has no run command"
    exit 2
fi
exec java -Xmx128m -cp "$classes" "$1" "$root" "$folder/record.txt" "$command"
