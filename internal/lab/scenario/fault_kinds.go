package scenario

// Kinds of faults, by their names in files.
const (
	FaultSlowServers         = "slow"
	FaultServerPauses        = "pauses"
	FaultLateReports         = "report_late"
	FaultBurst               = "burst"
	FaultHeavyTail           = "heavy_tail"
	FaultShrink              = "shrink"
	FaultLeave               = "leave"
	FaultJoinServers         = "join"
	FaultReplaceServers      = "replace"
	FaultAddressTakeover     = "takeover"
	FaultRestartServers      = "restart"
	FaultCrashServers        = "crash"
	FaultUnresponsiveServers = "vanish"
	FaultCrashBalancers      = "balancer_crash"
	FaultRestartBalancers    = "balancer_restart"
	FaultOverloadServers     = "choke"
	FaultCorruptResponses    = "spoil"
	FaultRepeatedResponses   = "response_twice"
	FaultMalformedClients    = "rude"
	FaultDelistServers       = "list_loss"
	FaultMoveDiscovery       = "roster_move"
	FaultDiscoveryOutage     = "discovery_outage"
	FaultLateDiscovery       = "discovery_late"
)

// faultKinds describes the kinds of faults. The texts are part of error messages.
var faultKinds = map[string]string{
	FaultSlowServers:    "part of the servers run size times slower",
	FaultServerPauses:   "part of the servers pause for size ms, every every_s",
	FaultLateReports:    "load reports arrive size s later",
	FaultBurst:          "size times the traffic, rising and falling over ramp_s",
	FaultHeavyTail:      "part of one class's requests (class; or of all) cost size times the work",
	FaultShrink:         "the fleet shrinks by 1/size over for_s, and traffic with it; a server drains for ramp_s",
	FaultLeave:          "part of the servers drain and end over for_s; traffic stays",
	FaultJoinServers:    "new servers, part of the fleet's number, start over for_s",
	FaultReplaceServers: "part of the servers are replaced by new ones with new IDs over for_s",
	FaultAddressTakeover: "part of the servers crash over for_s, " +
		"and after ramp_s new ones with new IDs start at their addresses",
	FaultRestartServers:      "part of the servers drain, end and start again, in slow start, over for_s",
	FaultCrashServers:        "part of the servers crash at once and start again, in slow start, after for_s",
	FaultUnresponsiveServers: "part of the servers no longer respond, and start again, in slow start, after for_s",
	FaultCrashBalancers:      "part of the balancers are killed at once and start again after for_s",
	FaultRestartBalancers: "part of the balancers are restarted one after the other, " +
		"every_s apart, each down for for_s",
	FaultOverloadServers: "part of the servers are put into overload at once",
	FaultCorruptResponses: "part of the responses are malformed or carry extra data; " +
		"in the simulation they are errors",
	FaultRepeatedResponses: "part of the responses come a second time, up to size ms later; on sockets only",
	FaultMalformedClients: "size malformed clients a second send what is no valid request, or nothing; " +
		"on sockets only",
	FaultDelistServers:   "the endpoint list omits part of the servers by mistake, and has them again after for_s",
	FaultMoveDiscovery:   "discovery moves to another address, and balancers are notified by a reload",
	FaultDiscoveryOutage: "calls to discovery fail and all watches end",
	FaultLateDiscovery:   "the endpoint list shows ends and drains size s later, and starts half of that",
}
