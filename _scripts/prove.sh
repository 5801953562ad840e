#!/usr/bin/env bash
# Mutation test of the promises: removes one safeguard at a time from a scratch copy,
# runs the test that covers it and expects the test to fail. Prints a line for each
# mutant and exits with status 1 if a test still passes, a mutant does not build or
# an expression changes nothing.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
bad=0

mutant() { # NAME FILE SED-EXPRESSION PACKAGE TEST
	# FILE is relative to pkg, PACKAGE to the file's module.
	local name=$1 file=$2 expr=$3 pkg=$4 test=$5 module=pkg
	case $file$pkg in *../platform*) module=platform ;; esac
	[ "$pkg" != ../platform ] || pkg=.
	rm -rf "$scratch/pkg" "$scratch/platform"
	cp -r "$top/pkg" "$top/platform" "$scratch"
	sed -i -E "$expr" "$scratch/pkg/$file"
	if cmp -s "$top/pkg/$file" "$scratch/pkg/$file"; then
		echo "NOT CHANGED  $name"
		bad=1
		return
	fi
	local out status
	out=$(cd "$scratch/$module" && GOWORK=off timeout 120 go test -count=1 "./$pkg" -run "$test" 2>&1)
	status=$?
	if [ $status -eq 0 ]; then
		echo "STILL PASSES $name ($test)"
		bad=1
	elif grep -q "build failed" <<<"$out"; then
		echo "NOT BUILT    $name"
		bad=1
	else
		echo "fails first  $name ($test)"
	fi
}

mutant "floor not checked" floor/record.go 's/left < s\.Floor/left < 0/' floor 'TestFloorUnderRaces'
mutant "ejections not fenced" floor/record_store.go 's/rs\.table\.Put\(ctx, key\(s\), raw, rev\)/func() (store.Revision, error) { _ = rev; for range 9 { _, latest, _ := rs.Read(ctx, s); if r, e := rs.table.Put(ctx, key(s), raw, latest); e == nil { return r, e } }; return 0, store.Unavailable.New("x") }()/' floor 'TestFloorUnderRaces'
mutant "claims not conditional" claim/ledger.go 's/expect store\.Revision, r \*record\) WriteResult \{$/expect store.Revision, r *record) WriteResult {\n\tif row, e := l.table.Get(ctx, req.ID.Row()); e == nil {\n\t\texpect = row.Revision\n\t}/' claim 'TestInterleavings'
mutant "a lost response taken as a successful claim" claim/ledger.go 's/return Indeterminate\{cause\}/return Written{expect + 1}/' claim 'TestWriteResults|TestInterleavings'
mutant "no deadline check after the claim" dispatch/at_most_once.go 's/ctx\.Err\(\) != nil \|\| !time\.Now\(\)\.Before\(deadline\)/false/; s/newAttempt\(ctx, s\)/newAttempt(context.WithoutCancel(ctx), s)/' trial 'TestHolderPaused'
mutant "reported as not run without fencing the key" entry/keyed.go 's/^(\tif x\.firstAttempt) \{/\1 || true {/' trial 'TestAtMostOnceUnderRandomFaults|TestAtMostOnceUnderStoreFaults|TestHomeIsolated'
mutant "an older attempt may claim a key freed after it began" entry/keyed.go 's/maxSkew = 500 \* time\.Millisecond/maxSkew = -time.Hour/' trial 'TestOlderAttempt'
mutant "a refused attempt releases the key of others" home/grant.go 's/!p\.Holds\(k\)/true/' trial 'TestRefusedAttempt'
mutant "the attempt of a disconnected caller releases the key" entry/keyed.go 's/f\.Kind == outcome\.Canceled/false/' trial 'TestRefusedAttempt'
mutant "at-most-once requests retried" dispatch/at_most_once.go 's/if !t\.notRun\(\) \{/if false {/' trial 'TestServerClosesAfterReading|TestAtMostOnceUnderRandomFaults'
mutant "echoed request id not compared" backend/send.go 's/echo != "" \&\&/false \&\&/' backend 'TestInvalidResponses'
mutant "unexpected bytes ignored" backend/send.go 's/n > 0 \{/n > 1<<30 {/' backend 'TestInvalidResponses'
mutant "responses of unknown length accepted" backend/send.go 's/resp\.ContentLength < 0 \&\&/false \&\&/' backend 'TestInvalidResponses'
mutant "idle connections not checked before reuse" backend/connpool.go 's/ \&\& c\.isReusable\(\)//' backend 'TestUnexpectedBytesOnIdleConnection'
mutant "no response timeout on reused connections" backend/send.go 's/x\.responseTimeout = o\.ReusedConnTimeout/x.responseTimeout = 0/' backend 'TestDeadReusedConnection'
mutant "refusals of draining servers ignored" pool/report.go 's/case Drain:/case "never":/' trial 'TestLeavingServers'
mutant "common cause ignored" pool/detector.go 's/return n > 0 \&\& 2\*worse >= n/return false/' pool 'TestHealthyServersAreLeftAlone'
mutant "crashes not counted" quarantine/tracker.go 's/maxLosses     = 2 /maxLosses     = 99 /' trial 'TestCrashRequest'
mutant "replica reverts to an older version" catalog/replica.go 's/c\.Version <= cur\.Version \{/false {/; s/c\.Version != cur\.Version\+1/false/' catalog 'TestReplicaNeverGoesBack'
mutant "stop does not wait for requests in flight" daemon/daemon.go 's/d\.callers\.Shutdown\(ctx\)/d.callers.Shutdown(func() context.Context { c, f := context.WithCancel(ctx); f(); return c }())/' trial 'TestGracefulStopWaits'
mutant "operators' roles not checked" operator/access.go 's/op\.Role < required/false/' trial 'TestRolesAndCommands'
mutant "dead VMs keep their roles" roster/roster.go 's/age > suspicionTimeout \&\& !r\.Isolated\(\)/false/' roster 'TestDeadVM'
mutant "both Content-Length and chunked accepted" caller/head.go 's/f\.lengths > 0 \&\& f\.codings > 0/false/' caller 'TestCheckHead'
mutant "at-most-once requests read ahead" caller/conn.go 's/len\(c\.queue\) > 0 \&\& !parallel/len(c.queue) > 99 \&\& !parallel/' caller 'TestAtMostOnceRequestWaits'
mutant "no back-off after a failure" pool/backoff.go 's/b\.streak\+\+/b.backOffUntil = now/' pool 'TestFailureStreakIsDetected'
mutant "servers suspected below the floor" pool/report.go 's/return p\.settings\.Floor == nil \|\| trusted-1.*/return true/' pool 'TestFloorLimitsSuspected'
mutant "idle servers not tested" pool/idle.go 's/if v\.inUse >= v\.openSlots \|\|/if true ||/' pool 'TestSoundServersAreUsed|TestAllServersAreUsed'
mutant "new servers tested before those that serve" pool/choose.go 's/v\.idleReason\(k\.now\) == IdleUnchosen/false/' pool 'TestNewServersDoNot'
mutant "a paused VM makes servers very slow" pool/slowness.go 's/\&\& !p\.commonlySlow\(now\)//; s/verySlowToLeaveOut = 2/verySlowToLeaveOut = 1/' pool 'TestPausedVM'
mutant "a late response counted like a broken connection" pool/backoff.go 's/timedOut \&\& b\.streak == 0/false/' pool 'TestLateResponseIdles'
mutant "a VM's older list taken for draining" pool/report.go 's/v\.pausedUntil = now\.Add\(unlistedPause\)/v.setState(now, Leaving, "draining")/' pool 'TestServerMissingInAVMs'
mutant "a VM's older list trusted over a restart" dispatch/run.go 's/l\.Server\.StartedMs > s\.StartedMs/true/' dispatch 'TestOlderListDoesNot'
mutant "the standby tests servers that have just failed" pool/streaks.go 's/v\.failedAt = observedAt/_ = observedAt/' pool 'TestNewHomeDoesNotTest'
mutant "back-offs ended by responses to earlier requests" pool/backoff.go 's/b\.streak == 0 \|\| g <= b\.startGrant/b.streak == 0/' pool 'TestResponseFromBefore'
mutant "at-most-once requests sent to servers in failure streaks" pool/server.go 's/v\.recovering\(k\.now\) && !lastResort && k\.waitsForRecovered/false/' pool 'TestAtMostOnceWaits'
mutant "one successful response ends a failure streak" pool/backoff.go 's/successesToRecover = 2/successesToRecover = 1/' pool 'TestOneGoodResponse'
mutant "slow servers treated like others" pool/choose.go 's/k\.atMostOnce \&\& v\.isSlow\(k\.now\)/false/' pool 'TestSlowServersGetFew'
mutant "a broken link of one VM counted against the server" pool/link.go 's/vm == l\.failedVM \&\& l\.answeredElsewhere/false/' pool 'TestServerWithOneBrokenLink'
mutant "failure streaks not sent to the standby" home/share.go 's/!state\.IsEmpty\(\)/false/' trial 'TestStandbyKnows'
mutant "data centres discover each other late" roster/roster.go 's/\(r\.onlyNear\(\) \&\& r\.heartbeats%2 == 1\)/false/' roster 'TestDataCentresMeet'
mutant "heavy pools on undersized VMs" roster/view.go 's/w\.undersized = 1/w.undersized = 0/' roster 'TestHeavyPools'
mutant "budget spent twice by two homes" pool/tenure.go 's/before, t\.next, t\.interimAt = BudgetShare\{\}, .*/before, t.next = r.Share, r.Since/' pool 'TestSuccessiveHomes'
mutant "a new home takes its share at once" pool/tenure.go 's/t\.next, t\.interimAt = now\.Add\(after\), now\.Add\(interimDelay\)$/t.next = now/' pool 'TestTakeover'
mutant "a successor starts blind" pool/tenure.go 's/^\t\tb\.adopt\(now, told\)$/\t\t_ = told/' pool 'TestTakeover'
mutant "a home does not wait for its successor" pool/lease.go 's/return l\.granted < l\.covered \|\| .*/return true/' pool 'TestHomeWaits'
mutant "a displaced home goes on" pool/lease.go 's/^\t\tb\.tenure\.restart\(now, b\.unknownTime\(\)\)$//' pool 'TestDisplacedHome'
mutant "a paused home goes on" pool/tenure.go 's/paused := t\.isSet \&\& .*/paused := false/' pool 'TestHomesThatMove'
mutant "what a home knew is told later homes" pool/lease.go 's/^\t\tb\.tenure\.homeAt = time\.Time\{\}.*$//' pool 'TestFormerHome'
mutant "both sides of a cut use the budget" fleet/budget.go 's/case 2\*seen < all \|\| share == 0:/case share == 0:/' fleet 'TestBudgetSharesAddUp'
mutant "old entries of a server accepted" registry/registry.go 's/ok \&\& e\.olderThan\(rec\.Server\.StartedMs, rec\.Seq\)/false/' registry 'TestStaleEntries'
mutant "lapsed servers dropped right after an outage" registry/registry.go 's/afterOutage := .*/afterOutage := false/' registry 'TestServersMissingAfterOutage'
mutant "limits of servers not counted" pool/pool.go 's/^\tv\.takeToken\(now\)$/\t_ = now/' pool 'TestLimitIsAPace'
mutant "servers tested beyond their limits" pool/server.go 's/if !v\.withinLimit\(now\) \{/if false {/' pool 'TestLimitGoesBeforeTheFloor'
mutant "servers probed beyond their limits" pool/server.go 's/ && v\.withinLimit\(now\) && !now/ \&\& !now/' pool 'TestProbesKeepTheLimit'
mutant "a limit raised by an older response" pool/limit.go 's/ && g <= v\.limitGrant \{/ \&\& false {/' pool 'TestOlderResponseDoesNot'
mutant "a limit raised by other VMs" pool/limit.go 's/ \|\| !n\.Limit\.IsLowerThan\(v\.limit\) \{/ {/' pool 'TestOtherVMsLimits'
mutant "limits not sent to the standby" pool/standby.go 's/, Limits: p\.namedLimits\(now\)//' pool 'TestStandbyKnowsLimits'
mutant "homes not told the limits that a VM knows" fleet/limits.go 's/out\.LimitVersion, out\.Limits = s\.version, s\.current\(now\)/out.LimitVersion = s.version/' fleet 'TestHomeIsTold'
mutant "VMs not told the limits that the home knows" fleet/limits.go 's/s\.servers\[named\.Server\] = knownLimit/_ = knownLimit/' fleet 'TestVMLearnsLimits'
mutant "each home uses the whole limit" fleet/limits.go 's/if n\.cfg\.Standalone \{/if true {/' trial 'TestSeveralHomesKeep'
mutant "a part of a parted fleet taken for the whole" roster/roster.go 's/m\.Status == Dead && !m\.left/m.Status == "never"/' roster 'TestLostVMs'
mutant "an unreadable limit lifts the limit" fleet/limits.go 's/if !o\.Limit\.Named \{/if false {/' fleet 'TestInvalidLimit'
mutant "requests wait for slots beyond the limits" pool/pool.go 's/limited := p\.untilTurn\(now, r, p\.queue\.ahead\(r\)\); limited/limited := p.untilTurn(now, r, 0); limited \&\& false/; s/p\.withinLimitOf\(v, v\.capacity\(now\)\)/float64(v.capacity(now))/' pool 'TestExcessOverTheLimits'
mutant "a refusal for the limit counted as a failure" pool/report.go 's/ && r\.Reason != Limited//' pool 'TestRefusalForTheLimit'
mutant "a restarted home lifts limits" fleet/limits.go 's/sameHome := reply\.Version\.Since == s\.version\.Since/sameHome := true/' fleet 'TestRestartedHome'
mutant "what servers say checked only by the home" dispatch/notices.go 's/Notices\.Check\(now, n, s\); found \{/Notices.Check(now, n, s); found \&\& false {/' dispatch 'TestWithheld'
mutant "a pause that ends with a shorter one" notice/notice.go 's/until := now\.Add\(pause\); until\.After\(e\.pausedUntil\)/until := now.Add(pause); pause > 0/' notice 'TestLongestPauseCounts'
mutant "a leaving server used again after a while" notice/notice.go 's/return l\.startedMs != 0 \|\| /return /' notice 'TestLeavingEndsOnly'
mutant "a restarted home not told of leaving servers" notice/notice.go 's/s\.home, s\.told = h, 0/s.home = h/' notice 'TestEachHomeIsToldOnce'
mutant "the list readmits a server that said it leaves" pool/pool.go 's/ \&\& !v\.announced \{/ {/; ' pool 'TestRegisteredServerLeaves'
mutant "a pause kept from all VMs" pool/notice.go 's/p\.pauses\.add\(vm, v/p.pauses.add("", v/; s/p\.pauses\.left\(now, r\.VM, v\)/p.pauses.left(now, "", v)/g' pool 'TestPauseBindsOneVM'
mutant "paused servers granted" pool/notice.go 's/return leaves \|\| slices\.Contains\(r\.Exclude, v\.cfg\.Name\) \|\| .*/return leaves || slices.Contains(r.Exclude, v.cfg.Name)/' pool 'TestPausedVMUses'
mutant "what servers say neither checked nor told" dispatch/notices.go 's/if !d\.cfg\.Notices\.Record\(/if true || !d.cfg.Notices.Record(/' trial 'TestVMsKeepTo/servers_(leave|pause)'
mutant "requests written without a check right before" backend/send.go 's/if o\.BeforeWrite == nil \{/if true {/' backend 'TestBeforeWrite'
mutant "connections to leaving servers kept" backend/send.go 's/ \&\& !leaves / \&\& (true || leaves) /' backend 'TestConnectionToALeaving'
mutant "heads without an end" backend/conn.go 's/if r\.c\.limited \{/if false {/' backend 'TestEndlessHead'
mutant "responses on reused connections need no name" backend/send.go 's/!x\.contract\.RequiresEcho/true/' backend 'TestLateSecondResponse'
mutant "a restarted VM passes on changes without earlier removals" registry/registry.go 's/r\.compactedUpTo = max\(r\.compactedUpTo, u\.Revision\)/_ = u.Revision/' registry 'TestRemovalBeforeAFullList'
mutant "limits of messages not checked" fleetapi/limits.go 's/if m == nil \|\| .* \{/if m == nil {/; s/^\t"math"$//' trial 'TestMalformedMessages'
mutant "updates pushed to any data centre" roster/roster.go 's/if vm\.DataCentre == r\.self\.DataCentre \{/if false {/' roster 'TestUpdatesMostlyStay'
mutant "idle servers tested from any data centre at once" pool/idle.go 's/limit \+= maxIdleFar/limit += 0/' pool 'TestRequestsStay'
mutant "no way through another VM" egress/sender.go 's/if !failedToConnect\(ctx, err\) \{/if true {/' trial 'TestVMsCutOff'
mutant "a server counts as crashed though another VM reaches it" egress/check.go 's/return ServerReachedElsewhere$/return ServerRefuses/' trial 'TestVMsCutOff'
mutant "a failed link is blamed on the server" dispatch/run.go 's/return t\.isSilent\(\) \&\& d\.cfg\.Egress\.LinkFailed.*/return false/; s/, timedOut \&\& d\.linkIsDown\(ctx, j, t\):/:/' trial 'TestVMsCutOff'
mutant "a VM that does not reach one server counts as cut off" egress/carry.go 's/^\tif len\(others\) == 0 \{/\tif false {/; s/^\tfor _, o := range others \{/\tfor _, o := range others[:0] {/' trial 'TestVMsCutOff'
mutant "a request that must not be sent is offered to other VMs" egress/through.go 's/^\t\treturn e$/\t\treturn nil/' egress 'TestRequestThatMustNot'
mutant "VMs carry to any address" egress/carry.go 's/known\.Address != c\.target\.Server\.Address/false/; s/^\tc\.target\.Server = known$//' trial 'TestVMsCarryOnly'
mutant "VMs carry without the fleet's token" daemon/egress.go 's/return operator\.RequireFleetToken\(fleetapi\.HeaderToken, d\.set\.Access\.FleetToken, mux\)/_, _ = operator.RequireFleetToken, fleetapi.HeaderToken; return mux/' trial 'TestVMsCarryOnly'
mutant "methods and targets of calls not checked" egress/message.go 's/!isToken\(c\.request\.Method\)/false/' egress 'FuzzParseCall'
mutant "no limit on carried requests" egress/carry.go 's/case len\(h\.running\) >= min\(h\.cfg\.MaxAtOnce\(\), maxRunning-1\):/case false:/' trial 'TestVMsThatMayCarryNothing'
mutant "a VM carries what nobody waits for" backend/serverconn.go 's/return ok \&\& !IsQuiet\(nc\)/return ok \&\& nc == nil/' trial 'TestPausedVMDoesNotCarry'
mutant "a paused home grants to VMs that gave up" fleet/homes.go 's/if backend\.IsCallerGone\(ctx\) \{/if backend.IsCallerGone(ctx) \&\& false {/' trial 'TestPausedHomeGrants'
mutant "a VM that carries ignores what servers told it" egress/carry.go 's/return h\.cfg\.CheckNotice\(now, c\.target\)/return nil/' trial 'TestVMThatCarriesKeeps'
mutant "a VM is never cut off" egress/links.go 's/isolationLinks = 3$/isolationLinks = 3000/' egress 'TestVMIsCutOff'
mutant "cut off after one failure" egress/links.go 's/isolationLinks = 3$/isolationLinks = 1/' egress 'TestVMIsCutOff'
mutant "all VMs asked alike" egress/carriers.go 's/len\(o\.proven\) < knownCarriers \&\& c\.rng\.Float64\(\) < exploreShare/true/' egress 'TestRequestsSpread'
mutant "a connect timeout told as a deadline" backend/connpool.go 's/return nil, \&connectTimeoutError\{p\.address, timeout\}/return nil, err/' backend 'TestConnectTimeout'
mutant "a lost response told as not run" dispatch/job.go 's/if r\.Failure != nil \&\& /if false \&\& /' dispatch 'TestLostResponse'
mutant "a stop cuts off what has arrived" caller/conn.go 's/if closedIdle \&\& c\.hasInput\(\) \{/if closedIdle \&\& false {/' caller 'TestShutdownAnswers'
mutant "keys passed on to servers" entry/account.go 's/^\t\tx\.presented\.RemoveFrom\(r\.Header\)$//' trial 'TestServersSee'
mutant "accounts that callers name passed on" backend/header.go 's/strings\.ReplaceAll\(n, "_", "-"\)/n/' trial 'TestServersSee'
mutant "trailers passed on" entry/entry.go 's/^\tdispatch\.CopyHeader\(h, r\.Header\)$/\tdispatch.CopyHeader(h, r.Header)\n\tdispatch.CopyHeader(h, r.Trailer)/' trial 'TestTrailers'
mutant "requests with an unknown key run" credential/credential.go 's/return Unauthorized\{UnknownKey\}/return Anonymous{}/' trial 'TestRequestsWithout'
mutant "keys checked before the configuration is known" entry/account.go 's/x\.config\.Version == 0 \{$/false {/' entry 'TestNoKeyIn'
mutant "keys in the text of credentials" credential/credential.go 's/^func \(p Presented\) Format\(s fmt\.State, _ rune\) \{.*/var _ = fmt.Sprint/' credential 'TestPresentedPrints'
mutant "refusals quote what cannot be parsed" caller/head.go 's/^\t\ttext = text\[:i\]$/\t\t_ = i/' caller 'TestRefusalsQuote'
mutant "removed keys stay valid" site/account.go 's/d\.accountsByKey = d\.accountsByKey\.without\(string\(k\)\)/_ = k/' site 'TestKeysFollow'
mutant "two accounts hold one key" site/account.go 's/owner != nil \&\& owner\.Name != a\.Name/false/' site 'TestKeysFollow'
mutant "an account's priority ignored" entry/account.go 's/^\t\tx\.match = x\.match\.ForAccount\(result\.Account\)$//' trial 'TestAccountPriority'
mutant "a removed or retyped field passes" oldbuild/compare.go 's/was\.Kind\(\) == is\.Kind\(\)/true/' oldbuild 'TestCompareFindsBreaks'
mutant "a VM of an earlier build passes on unknown fields" oldbuild/oldbuild.go 's/DiscardUnknown: true/DiscardUnknown: false/' oldbuild 'TestPeerDropsUnknownFields'
mutant "a VM of an earlier build answers later calls" oldbuild/peer.go 's/if m == nil \{/if false {/' oldbuild 'TestPeerLacksLaterCalls'
mutant "VMs of two builds without a common heartbeat" oldbuild/oldbuild.go 's/return s\.Methods\(\)\.ByName/if name == "Heartbeat" {\n\t\treturn nil\n\t}\n\treturn s.Methods().ByName/' trial 'TestRollingUpgradeAndBack'
mutant "an explanation decides on the pool itself" pool/explain.go 's/c := p\.clone\(\)/c := p/' pool 'TestExplainIsTheNextDecision'
mutant "an explanation on a copy that shares the retry budget" pool/clone.go 's/c\.budget = p\.budget\.clone\(\)//' pool 'TestCloneSharesNothing'
mutant "candidates explained by an earlier choice" pool/choose.go 's/if p\.trace != nil \{/if p.trace != nil \&\& len(p.trace.candidates) == 0 {/' pool 'TestExplainNamesObstacles'
mutant "an earlier home taken for one that does not answer" fleet/explain.go 's/te\.Code\(\) == twirp\.BadRoute/te.Code() == twirp.BadRoute \&\& false/' trial 'TestWhereWithAnEarlierHome'
mutant "a home keeps the pools that it explains" home/explain.go 's/p\.Configure\(now/h.pool(now, id)\n\tp.Configure(now/' trial 'TestWhereOfWeightedRoute'
mutant "a hint held for longer than its bound" admission/hint.go 's/age < min\(h\.Validity, MaxHintValidity\)/age < h.Validity/' fleet 'TestHintOfHome'
mutant "a request that a server has got refused by a hint" admission/hint.go 's/return attempts == 0 \&\& /return /' fleet 'TestHintOfHome'
mutant "a keyed request refused by a hint" fleet/hints.go 's/req\.Key != "" \|\| //' fleet 'TestHintOfHome'
mutant "a neglected priority refused on arrival" admission/order.go 's/ \&\& l\.isNeglected\(now, r\.Priority\) \{/ \&\& false {/' admission 'TestNothingIsAhead'
mutant "accounts charged by number of requests" admission/ledger.go 's/Charge\{r\.Account, max\(r\.Work\.Mean, minWork\)\}/Charge{r.Account, time.Second}/; s/l\.charge\(now, c\.account, held-c\.work\)//' pool 'TestAccountsGetEqualServerTime'
mutant "the wait estimated by the number of requests" pool/admission.go 's/Mean: scale\(u\.mean, 1\)/Mean: scale(p.meanMs, 1)/' pool 'TestWaitIsEstimatedByWork'
mutant "outcomes told without a look at the key" entry/keyed.go 's/f := x\.identifyQuery\(r\); f != nil/f := x.checkReady(); f != nil/' trial 'TestIdempotencyKeysAre'
mutant "attempts do not name the account" dispatch/header.go 's/if j\.AccountOfKey != "" \{/if false {/' trial 'TestEachAttempt'
mutant "the retry budget spent on any retry" admission/retry.go 's/left > reservedShare\*/left > 0*/' admission 'TestAllowsRetry'
mutant "no wait for urgent requests with little time" admission/admission.go 's/minWaitShare = 0\.25/minWaitShare = 0.0/' admission 'TestWaitLimit'
mutant "less urgent requests outlast more urgent ones" admission/ledger.go 's/least\.Before\(limit\)/false/' admission 'TestWaitLimit'
mutant "a paused VM keeps its tokens" quota/buckets.go 's/now\.Sub\(k\.tickedAt\) <= TickPeriod\+maxStall/now.Sub(k.tickedAt) <= time.Hour/' quota 'TestPauseEmptiesBuckets'
mutant "a new home starts with a full bucket" quota/buckets.go 's/h\.restart\(since, start\)/h.restart(since, capacity)/' quota 'TestNewHomeStartsWithOneToken'
mutant "a lowered quota leaves its tokens" quota/bucket.go 's/b\.tokens = min\(b\.tokens, capacity\)/_ = capacity/' quota 'TestLoweredQuotaAppliesAtOnce'
mutant "a standby spends the whole part" quota/bucket.go 's/\* standbyReserve \/ n/* 100 \/ n/' quota 'TestStandbyKeepsToItsReserve'
mutant "each VM has the whole quota" fleet/quotas.go 's/if n\.isSelf\(vm\) \{/if true {/; s/return n\.decideToken\(time\.Now\(\), a\), nil/return n.quotas.buckets.Take(time.Now(), a, quota.Home{Share: 1, Since: n.startedAt}), nil/' trial 'TestQuotaHoldsOverAllVMs'
mutant "VMs of earlier builds decide on quotas" roster/view.go 's/vms\[i\]\.Protocol < r\.protocol \|\| //' roster 'TestQuotaHomesAnnounceQuotas'
mutant "suspected VMs count as seen" fleet/quotas.go 's/len\(v\.VMs\(\)\)-v\.Suspected\(\), len/len(v.VMs()), len/' fleet 'TestQuotaShare'
mutant "a queue filled to the limit of the estimate" pool/waiting.go 's/waitMargin = 1\.2/waitMargin = 1.0/' pool 'TestOverloadIsRefusedOnArrival'
mutant "names cut off" ../platform/name.go 's/digest\[:digestBytes\]/digest[:0]/' . 'TestNamesAreMapped'
mutant "fractions of weights cut off" ../platform/manifest.go 's/\/largest\*site\.MaxWeight//' . 'TestWeightsAreProportions'
mutant "a refused object leaves no previous one" catalog/draft.go 's/if o == nil \{/if true {/' ../platform 'TestInvalidRoute'
mutant "a server's start decides however late it is" registry/registry.go 's/e\.Server\.StartedMs > latestStart \|\| /false \&\& e.Server.StartedMs > latestStart || /' registry 'TestImplausibleEntries'
mutant "a sequence number decides however far it is" registry/order.go 's/ \&\& o\.seq-e\.Seq <= maxDelayedWrites//' registry 'TestImplausibleEntries'
mutant "revisions compared without the era" registry/order.go 's/min\(era, MaxEra\)<<eraShift/0 * min(era, MaxEra)<<eraShift/' registry 'TestRevisionsOfALaterEra'
mutant "positions of another era read on" ../platform/client.go 's/after\.era != c\.eras\.present\(\)/false/; s/p\.Era != after\.era/false/' . 'TestRemovalsAfterAStore|TestConfigurationAfterAStore'
mutant "writes across eras" ../platform/fleet_store.go 's/expect != 0 \&\& at\.era/false \&\& at.era/' . 'TestRevisionOfAnEarlierEra'
mutant "VMs register once" fleet/sync.go 's/ \|\| era > n\.registeredIn//' ../platform 'TestVMRegistersAgain'
mutant "a server that is back is told by no reader that has not missed it" registry/registry.go 's/wasMissing \|\| now\.Before\(r\.recoversUntil\)/wasMissing/' registry 'TestServerThatIsBack'
mutant "large bodies take all room" buffer/budget.go 's/return b\.limit - b\.limit\/reservedShare/return b.limit/' buffer 'TestLargeBodies'
mutant "slow senders keep their room" buffer/budget.go 's/age < minAge \|\| a\.held == 0/true/' caller 'TestSlowSenders'
mutant "responses not counted" buffer/read.go 's/!r\.account\.Reserve\(next\)/false/' backend 'TestEndlessBodies'
mutant "late requests of a planned stop passed on" entry/entry.go 's/if end == nil \|\| now/if end != nil || end == nil || now/' trial 'TestPlannedStops'
exit $bad
