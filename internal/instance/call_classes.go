package instance

import (
	"github.com/bilberryferry/bilberryferry/internal/carrier"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/member"
	"github.com/bilberryferry/bilberryferry/internal/overload"
)

// callClasses holds the class of each method that a core instance serves to other instances.
var callClasses = map[string]overload.Class{
	member.MethodJoin: overload.ClassLog,

	carrier.MethodCarry:            overload.ClassWork,
	carrier.MethodCollect:          overload.ClassWork,
	control.MethodAnnounce:         overload.ClassWork,
	control.MethodLeave:            overload.ClassWork,
	control.MethodQueryAdviser:     overload.ClassWork,
	control.MethodAnnounceInstance: overload.ClassWork,
	control.MethodCancel:           overload.ClassWork,
	control.MethodConfigure:        overload.ClassWork,
	control.MethodStartWave:        overload.ClassWork,
	control.MethodWaveState:        overload.ClassWork,

	control.MethodSubmit: overload.ClassSubmit,

	control.MethodState:         overload.ClassRead,
	control.MethodEnded:         overload.ClassRead,
	control.MethodExplain:       overload.ClassRead,
	control.MethodCustomers:     overload.ClassRead,
	control.MethodConfiguration: overload.ClassRead,
}

// callClass returns the class of the calls of a method. Methods without a class count as ClassWork, which
// overload never reduces.
func callClass(method string) overload.Class {
	if class, ok := callClasses[method]; ok {
		return class
	}
	return overload.ClassWork
}
