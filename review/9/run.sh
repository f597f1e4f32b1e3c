#!/bin/sh
exec sh "$(dirname "$0")/../standin-2/run-case.sh" BehindCrowd "$(dirname "$0")"
